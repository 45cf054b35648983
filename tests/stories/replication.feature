Feature: Replicated idempotency keys
  A keyed request runs once in its window, whichever servers its attempts are sent to and whatever fails meanwhile.
  A retry gets the first one's answer, byte for byte, or waits for it, or fails where nobody can know the outcome.

  Background:
    Given a fleet of a, b, c, d and e, each in a zone of its own

  # -- all is well

  Scenario: A gate's record comes again at another server
    When the record is sent to a
    And it is retried at another server
    Then the record ran once, and all waiting requests got its answer

  Scenario: The same record comes to all servers at one moment
    When the record is sent to all servers at one moment
    Then the record ran once, and all waiting requests got its answer

  Scenario: It comes again while it still runs
    When the record is sent to a and takes 1 second
    And it is retried at b
    And 2 seconds pass
    Then the record ran once, and all waiting requests got its answer

  Scenario: It comes again and again, long after, within its window
    When the record is sent to a
    And 6 seconds pass
    And it is retried at c
    Then the record ran once, and all waiting requests got its answer

  Scenario: After its window it is a new record
    When the record is sent to a
    And 9 seconds pass
    And it is retried at b
    Then the record ran twice, the second time on purpose

  # -- a server stands still

  Scenario: It comes again while its first server is paused
    When the record is sent to a and takes 1 second
    And a is paused for 2 seconds
    And it is retried at b
    And 4 seconds pass
    Then the record ran once, and all waiting requests got its answer

  Scenario: Its first server is paused past its removal, and wakes
    When the record is sent to a and takes 1 second
    And a is paused for 3 seconds
    And the fleet removes a
    And it is retried at b
    And 4 seconds pass
    And a comes back in, as it was
    And it is retried at c
    Then the record ran once

  Scenario: A server wakes in the middle of its claim, when another has run the record
    When messages of a to others need 1 second
    And the record is sent to a
    And a is paused for 3 seconds
    And the fleet removes a
    And it is retried at b
    And 5 seconds pass
    Then the record ran once

  Scenario: A replica is paused while the record is claimed
    When the first replica is paused for 2 seconds
    And the record is sent to the second replica
    And it is retried at the third replica
    And 3 seconds pass
    Then the record ran once, and all waiting requests got its answer

  # -- a server is killed

  Scenario: The first server is killed once it has run it
    When the record is sent to a
    And 1 second passes
    And a is killed
    And the fleet removes a
    And it is retried at b
    Then the record ran once, and all waiting requests got its answer

  Scenario: The first server is killed while it runs
    When the record is sent to a and never ends there
    And a is killed
    And the fleet removes a
    And it is retried at b
    And 4 seconds pass
    Then the record ran once
    And the last request failed, and was not rejected

  Scenario: The first server restarts cold, and the record is sent to it again
    When the record is sent to a
    And 1 second passes
    And a is killed
    And a starts again with an empty store
    And the fleet admits a again
    And it is retried at a
    Then the record ran once, and all waiting requests got its answer

  Scenario: A replica restarts cold and then another one does
    When the record is sent to a
    And the first replica is killed and comes back with an empty store
    And the second replica is killed and comes back with an empty store
    And the third replica is killed and comes back with an empty store
    And it is retried at b
    Then the record ran once, and all waiting requests got its answer

  Scenario: Two replicas restart cold at one moment, and nobody runs it before all windows are over
    When the record is sent to a
    And the first and the second replica come back with an empty store at one moment
    And it is retried at another server
    And 3 seconds pass
    Then the record ran once
    And the last request was rejected, or got the answer
    When 9 seconds pass
    Then every server is ready again for all its ranges

  Scenario: All servers restart cold, and the fleet is up again
    When the record is sent to a
    And all servers come back with an empty store
    And 12 seconds pass
    And a request with another key is sent to b
    Then that other one was completed

  # -- links

  Scenario: No majority is in reach of a server
    When a is cut off from all others
    And the record is sent to a
    And 2 seconds pass
    Then the last request was rejected, or got the answer
    And the record never ran

  Scenario: It comes again on the other side of a cut
    When the record is sent to a
    And a zone with a and b in it is cut off
    And it is retried at c
    And it is retried at a
    And 4 seconds pass
    Then the record ran once

  Scenario: It comes to both sides of a cut at one moment
    When a zone with a and b in it is cut off
    And the record is sent to all servers at one moment
    And 4 seconds pass
    And the cut heals
    And 2 seconds pass
    And it is retried at another server
    Then the record ran at most once

  Scenario: A cut one way: the replicas hear the claim, and it does not hear them
    When nothing that others send reaches a
    And the record is sent to a
    And 1 second passes
    And it is retried at b
    And 4 seconds pass
    Then the record ran at most once
    When the cut heals
    And 2 seconds pass
    And it is retried at c
    Then the record ran once, and all waiting requests got its answer

  Scenario: Links that lose a third of all messages
    When a third of all messages is lost, and some come twice
    And the record is sent to all servers at one moment
    And 4 seconds pass
    Then the record ran at most once

  Scenario: The answer of a claim is lost, and nothing is left of it
    When nothing that others send reaches a
    And the record is sent to a
    And 1 second passes
    And the cut heals
    And 2 seconds pass
    And it is retried at b
    Then the record ran once, and the last request got its answer

  # -- zones

  Scenario: A zone is lost
    When the record is sent to a
    And the zone of the first replica is lost
    And it is retried at another server
    Then the record ran once, and all waiting requests got its answer

  Scenario: A zone is lost while the record runs in another
    When the record is sent to another server and takes 1 second
    And the zone of the first replica is lost
    And it is retried at yet another server
    And 3 seconds pass
    Then the record ran once, and all waiting requests got its answer

  # -- views that change, copies that move

  Scenario: The record's copies move to new replicas, one by one
    When the record is sent to a
    And one after another leaves and comes back with an empty store
    And it is retried at c
    Then the record ran once, and all waiting requests got its answer

  Scenario: The view reaches some servers late
    When the record is sent to a
    And the first replica leaves, and only the second replica hears of it for 1 second
    And it is retried at the second replica
    And 3 seconds pass
    Then the record ran once

  Scenario: A cut in the middle of a catch-up
    Given 200 other records have run
    When the record is sent to a
    And the first replica comes back with an empty store, and is cut off in the middle of its catch-up
    And it is retried at the second replica
    And 1 second passes
    Then the cut-off one is not ready yet
    When the cut heals
    And 3 seconds pass
    And it is retried at the first replica
    Then the record ran once, and all waiting requests got its answer
    And every server is ready again for all its ranges

  Scenario: Records go on running while a replica catches up
    Given 200 other records have run
    When the first replica is killed and comes back with an empty store
    And 50 more records are sent to all servers
    And 3 seconds pass
    Then each of these ran once
    And every server is ready again for all its ranges

  Scenario: Copies that drifted apart are repaired
    When the record is sent to a
    And 1 second passes
    And one replica loses the record's entry
    And 6 seconds pass
    Then every replica has the record's outcome

  Scenario: Two outcomes of one record are stored, counted and logged
    When the record is sent to a
    And 1 second passes
    And one replica has an outcome that nobody else knows
    And 6 seconds pass
    Then both outcomes are on every replica, and were logged with their evidence
    And a retry is not run

  Scenario: Two replicas leave in order at one moment
    When the record is sent to a
    And the first and the second replica leave in order at one moment
    Then every server is ready again for all its ranges
    When it is retried at another server
    Then the record ran once, and all waiting requests got its answer

  Scenario: Two replicas are gone at one moment, and one of them is started anew
    When the record is sent to a
    And the first and the second replica are gone at one moment
    And it is retried at another server
    And 12 seconds pass
    Then the record ran once
    And the last request was rejected, or got the answer
    When the first one is started under its name again
    And 9 seconds pass
    Then every server is ready again for all its ranges

  # -- bounds

  Scenario: The replicas are full
    Given replicas that take 3 entries only
    When 20 more records are sent to all servers
    And 2 seconds pass
    Then each of these ran at most once, and some were rejected

  Scenario: What is over is not sent to one that comes back
    Given 200 other records have run
    When 9 seconds pass
    And the first replica is killed and comes back with an empty store
    Then it took no entry

  # -- sessions

  Scenario: A session's binding moves by its number alone
    When server a binds the session at number 0
    And server b moves it at number 1
    And server a moves it at number 1
    Then the moves were won, won and stale

  Scenario: A claim under a binding that has moved on is refused
    When server a binds the session at number 0
    And server b moves it at number 1
    And a record of that session is sent to a under number 1
    Then that record was rejected, and never ran
