Feature: What several servers know of a label, together
  A label runs once in its window, whichever servers its tries come to and whatever fails meanwhile. Whoever
  comes again gets the first one's answer, byte for byte, or waits for it, or an error where nobody can know it.

  Background:
    Given a fleet of a, b, c, d and e, each in a zone of its own

  # -- all is well

  Scenario: A gate's record comes again at another server
    When the record comes to a
    And it comes again at another server
    Then the record ran once, and all who waited got its answer

  Scenario: The same record comes to all servers at one moment
    When the record comes to all servers at one moment
    Then the record ran once, and all who waited got its answer

  Scenario: It comes again while it still runs
    When the record comes to a and takes 1 second
    And it comes again at b
    And 2 seconds pass
    Then the record ran once, and all who waited got its answer

  Scenario: It comes again and again, long after, within its window
    When the record comes to a
    And 6 seconds pass
    And it comes again at c
    Then the record ran once, and all who waited got its answer

  Scenario: After its window it is a new record
    When the record comes to a
    And 9 seconds pass
    And it comes again at b
    Then the record ran twice, the second time on purpose

  # -- a server stands still

  Scenario: It comes again while its first server is paused
    When the record comes to a and takes 1 second
    And a is paused for 2 seconds
    And it comes again at b
    And 4 seconds pass
    Then the record ran once, and all who waited got its answer

  Scenario: Its first server is paused past its removal, and wakes
    When the record comes to a and takes 1 second
    And a is paused for 3 seconds
    And the fleet takes a out
    And it comes again at b
    And 4 seconds pass
    And a comes back in, as it was
    And it comes again at c
    Then the record ran once

  Scenario: A server wakes in the middle of its claim, when another has run the record
    When messages of a to others need 1 second
    And the record comes to a
    And a is paused for 3 seconds
    And the fleet takes a out
    And it comes again at b
    And 5 seconds pass
    Then the record ran once

  Scenario: A holder is paused while the record is claimed
    When the first holder is paused for 2 seconds
    And the record comes to the second holder
    And it comes again at the third holder
    And 3 seconds pass
    Then the record ran once, and all who waited got its answer

  # -- a server is killed

  Scenario: The first server is killed once it has run it
    When the record comes to a
    And 1 second passes
    And a is killed
    And the fleet takes a out
    And it comes again at b
    Then the record ran once, and all who waited got its answer

  Scenario: The first server is killed while it runs
    When the record comes to a and never ends there
    And a is killed
    And the fleet takes a out
    And it comes again at b
    And 4 seconds pass
    Then the record ran once
    And who came last was given an error, and not a denial

  Scenario: The first server restarts cold, and the record comes to it again
    When the record comes to a
    And 1 second passes
    And a is killed
    And a starts again with nothing
    And the fleet knows a anew
    And it comes again at a
    Then the record ran once, and all who waited got its answer

  Scenario: A holder restarts cold and then another one does
    When the record comes to a
    And the first holder is killed and comes back with nothing
    And the second holder is killed and comes back with nothing
    And the third holder is killed and comes back with nothing
    And it comes again at b
    Then the record ran once, and all who waited got its answer

  Scenario: Two holders restart cold at one moment, and nobody runs it before all windows are over
    When the record comes to a
    And the first and the second holder come back with nothing at one moment
    And it comes again at another server
    And 3 seconds pass
    Then the record ran once
    And who came last was denied, or got the answer
    When 9 seconds pass
    Then every server counts again for all that it holds

  Scenario: All servers restart cold, and the fleet is up again
    When the record comes to a
    And all servers come back with nothing
    And 12 seconds pass
    And a ticket of another label comes to b
    Then that other one was completed

  # -- links

  Scenario: No majority is in reach of a server
    When a is cut off from all others
    And the record comes to a
    And 2 seconds pass
    Then who came last was denied, or got the answer
    And the record never ran

  Scenario: It comes again on the other side of a cut
    When the record comes to a
    And a zone with a and b in it is cut off
    And it comes again at c
    And it comes again at a
    And 4 seconds pass
    Then the record ran once

  Scenario: It comes to both sides of a cut at one moment
    When a zone with a and b in it is cut off
    And the record comes to all servers at one moment
    And 4 seconds pass
    And the cut heals
    And 2 seconds pass
    And it comes again at another server
    Then the record ran at most once

  Scenario: A cut one way: the holders hear the claim, and it does not hear them
    When nothing that others send reaches a
    And the record comes to a
    And 1 second passes
    And it comes again at b
    And 4 seconds pass
    Then the record ran at most once
    When the cut heals
    And 2 seconds pass
    And it comes again at c
    Then the record ran once, and all who waited got its answer

  Scenario: Links that lose a third of all messages
    When a third of all messages is lost, and some come twice
    And the record comes to all servers at one moment
    And 4 seconds pass
    Then the record ran at most once

  Scenario: The answer of a claim is lost, and nothing is left of it
    When nothing that others send reaches a
    And the record comes to a
    And 1 second passes
    And the cut heals
    And 2 seconds pass
    And it comes again at b
    Then the record ran once, and who came last got its answer

  # -- zones

  Scenario: A zone is lost
    When the record comes to a
    And the zone of the first holder is lost
    And it comes again at another server
    Then the record ran once, and all who waited got its answer

  Scenario: A zone is lost while the record runs in another
    When the record comes to another server and takes 1 second
    And the zone of the first holder is lost
    And it comes again at yet another server
    And 3 seconds pass
    Then the record ran once, and all who waited got its answer

  # -- views that change, copies that move

  Scenario: The record's copies move to new holders, one by one
    When the record comes to a
    And one after another leaves and comes back with nothing
    And it comes again at c
    Then the record ran once, and all who waited got its answer

  Scenario: The view reaches some servers late
    When the record comes to a
    And the first holder leaves, and only the second holder hears of it for 1 second
    And it comes again at the second holder
    And 3 seconds pass
    Then the record ran once

  Scenario: A cut in the middle of a catch-up
    Given 200 other records have run
    When the record comes to a
    And the first holder comes back with nothing, and is cut off in the middle of its catch-up
    And it comes again at the second holder
    And 1 second passes
    Then the cut-off one counts for nothing yet
    When the cut heals
    And 3 seconds pass
    And it comes again at the first holder
    Then the record ran once, and all who waited got its answer
    And every server counts again for all that it holds

  Scenario: Records go on running while a holder catches up
    Given 200 other records have run
    When the first holder is killed and comes back with nothing
    And 50 more records come to all servers
    And 3 seconds pass
    Then each of these ran once
    And every server counts again for all that it holds

  Scenario: Copies that drifted apart are repaired
    When the record comes to a
    And 1 second passes
    And one holder loses the record's entry
    And 6 seconds pass
    Then every holder has the record's outcome

  Scenario: Two outcomes of one record are kept, counted and told
    When the record comes to a
    And 1 second passes
    And one holder has an outcome that nobody else knows
    And 6 seconds pass
    Then both outcomes are on every holder, and were told with their evidence
    And it comes again, and is not run

  Scenario: Two holders leave in order at one moment
    When the record comes to a
    And the first and the second holder leave in order at one moment
    Then every server counts again for all that it holds
    When it comes again at another server
    Then the record ran once, and all who waited got its answer

  Scenario: Two holders are gone at one moment, and one of them is started anew
    When the record comes to a
    And the first and the second holder are gone at one moment
    And it comes again at another server
    And 12 seconds pass
    Then the record ran once
    And who came last was denied, or got the answer
    When the first one is started under its name again
    And 9 seconds pass
    Then every server counts again for all that it holds

  # -- bounds

  Scenario: The holders are full
    Given holders that take 3 entries only
    When 20 more records come to all servers
    And 2 seconds pass
    Then each of these ran at most once, and some were denied

  Scenario: What is over is not sent to one that comes back
    Given 200 other records have run
    When 9 seconds pass
    And the first holder is killed and comes back with nothing
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
    And a record of that session comes to a under number 1
    Then that record was denied, and never ran
