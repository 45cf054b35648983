Feature: Several app servers through faults that cross, as their operators see them

  Scenario Outline: A reload and a drain cross
    Given a fleet of 3 servers with runs under way
    When there is <crossing> on each
    And the <which> runs end
    Then every request has just one answer, by its deadline
    And the lookups that ran are <answered>, the records completed
    And all that were asked to shut down did so with code 0 before their stop
    And none of them reported to any name service that it serves

    Examples:
      | crossing                            | which    | answered  |
      | a reload in the grace of a drain    | open     | completed |
      | a reload past the grace of a drain  | open     | completed |
      | a reload past the grace of a drain  | keyed    | failed    |
      | a drain in the midst of a hand-over | open     | completed |
      | a drain in the midst of a hand-over | keyed    | failed    |

  Scenario: A whole fleet restarts, half of it killed in the first moments of the start
    Given a fleet of 20 servers with clients that go on sending
    When all restart, each second one killed as it starts and started again
    Then 9 of 10 serve within 10 seconds, and all in the end
    And every request to those that left in order has just one answer, none has two

  Scenario: A server that reports that it serves does: an interpreter that greets late
    Given a fleet of 3 servers whose interpreters are not up
    When requests come and the interpreters greet later
    Then each that reports that it serves does
    And every request has just one answer, by its deadline

  Scenario: A server that reports that it serves does: a link that was lost and came back
    Given a fleet of 3 servers with runs under way
    When all links to the interpreters are lost, are not greeted for a while and come back
    Then each that reports that it serves does
    And every request has just one answer, by its deadline

  Scenario: A server that reports that it serves does: the name service moves while others leave
    Given a fleet of 3 servers with runs under way
    When one is given another name service as a second begins to leave and a third is given it and leaves
    Then the first reports there within 3 seconds that it serves, and the others nowhere once they left
    And each that reports that it serves does
    And every request has just one answer, by its deadline
    And all that were asked to shut down did so with code 0 before their stop

  Scenario: A server that reports that it serves does: an interpreter that is gone for good
    Given a fleet of 2 servers
    When the interpreter of the first is gone and a request was there for its whole deadline
    Then each that reports from then on that it serves does

  Scenario Outline: Requests in parts across the shutdown
    Given a fleet of 2 servers
    When requests come <how> on both, the one leaving and the other reloading between the parts
    Then every request has just one answer, by its deadline
    And all that were asked to shut down did so with code 0 before their stop

    Examples:
      | how              |
      | cut at each byte |
      | byte by byte     |

  Scenario: Idle clients take all descriptors while the name service is down
    Given servers with 28 and 64 descriptors
    When the name service is down and more idle clients than there is capacity for reconnect whenever closed
    Then each of 5 requests on each server is completed by its deadline
    And once the name service is back, each that reports that it serves does

  Scenario: No request is left without an answer, whatever the interpreters do
    Given a fleet of 4 servers, the first never greeted
    When the runs of one never end, one loses its link for good and one moves to an address that never greets
    Then every request has just one answer, by its deadline
    And all leave with code 0 when asked to
