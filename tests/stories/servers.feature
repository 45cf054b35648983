Feature: App servers under concurrent faults, as operators see them

  Scenario Outline: A reload and a drain at the same time
    Given a fleet of 3 servers with runs under way
    When there is <event> on each server
    And the <kind> runs end
    Then every request has exactly one answer by its deadline
    And the lookups that ran are <outcome>, and the records are completed
    And all servers that were asked to shut down exited with code 0 before their stop time
    And none of them reported to any name service that it is serving

    Examples:
      | event                                      | kind  | outcome   |
      | a reload in the grace period of a drain    | open  | completed |
      | a reload after the grace period of a drain | open  | completed |
      | a reload after the grace period of a drain | keyed | failed    |
      | a drain during a hand-over                 | open  | completed |
      | a drain during a hand-over                 | keyed | failed    |

  Scenario: A whole fleet restarts, and half of it is killed during startup
    Given a fleet of 20 servers with clients that keep sending
    When all servers restart, and every second one is killed during startup and started again
    Then 9 of 10 servers serve within 10 seconds, and all eventually
    And every request to a server that was not killed has exactly one answer, and none has two

  Scenario: A server that reports that it is serving completes requests: late greeting
    Given a fleet of 3 servers whose interpreters are not up
    When requests arrive and the interpreters greet later
    Then each server that reports that it is serving completes requests
    And every request has exactly one answer by its deadline

  Scenario: A server that reports that it is serving completes requests: lost and reopened links
    Given a fleet of 3 servers with runs under way
    When all links to the interpreters are lost, reopened, and greeted only after a while
    Then each server that reports that it is serving completes requests
    And every request has exactly one answer by its deadline

  Scenario: A server that reports that it is serving completes requests: change of the name service
    Given a fleet of 3 servers with runs under way
    When n1 starts to shut down, n0 moves to another name service, and n2 moves there and shuts down
    Then n0 reports there within 3 seconds that it is serving, and n1 and n2 nowhere after they left
    And each server that reports that it is serving completes requests
    And every request has exactly one answer by its deadline
    And all servers that were asked to shut down exited with code 0 before their stop time

  Scenario: A server that reports that it is serving completes requests: permanent loss of the interpreter
    Given a fleet of 2 servers
    When the interpreter of n0 is lost and a request sent there has ended
    Then each server that reports from then on that it is serving completes requests

  Scenario Outline: Requests that arrive in parts during a shutdown
    Given a fleet of 2 servers
    When requests arrive <how> on both, and n0 shuts down and n1 reloads between the parts
    Then every request has exactly one answer by its deadline
    And all servers that were asked to shut down exited with code 0 before their stop time

    Examples:
      | how                |
      | split at each byte |
      | byte by byte       |

  Scenario: Idle clients use up all descriptors while the name service is down
    Given servers with 28 and 64 descriptors
    When the name service is down and more idle clients than fit reconnect whenever they are closed
    Then each of 5 requests on each server is completed by its deadline
    And once the name service is back, each server that reports that it is serving completes requests

  Scenario: Every request is answered, whatever the interpreters do
    Given a fleet of 4 servers, the first never greeted by its interpreter
    When the runs of n1 never end, n2 loses its link, and n3 moves to an address that never greets
    Then every request has exactly one answer by its deadline
    And all servers exit with code 0 when asked to shut down
