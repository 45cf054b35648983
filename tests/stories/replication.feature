Feature: Replicated idempotency keys
  A keyed request runs once in its idempotency window, on whichever servers its attempts arrive and whatever fails.
  A retry gets the identical answer of the first attempt, waits for it, or fails if the outcome can't be determined.

  Background:
    Given a fleet of servers a, b, c, d and e, each in its own zone

  # -- without faults

  Scenario: A retry arrives at another server
    When the request is sent to a
    And it is retried at another server
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The same request arrives at all servers at the same time
    When the request is sent to all servers at the same time
    Then the request ran once, and all waiting attempts got its answer

  Scenario: A retry arrives while the request runs
    When the request is sent to a and takes 1 second
    And it is retried at b
    And 2 seconds pass
    Then the request ran once, and all waiting attempts got its answer

  Scenario: A retry arrives late in its idempotency window
    When the request is sent to a
    And 6 seconds pass
    And it is retried at c
    Then the request ran once, and all waiting attempts got its answer

  Scenario: After its idempotency window the request is a new one
    When the request is sent to a
    And 9 seconds pass
    And it is retried at b
    Then the request ran twice, once in each window

  # -- paused servers

  Scenario: A retry arrives while the first server is paused
    When the request is sent to a and takes 1 second
    And a is paused for 2 seconds
    And it is retried at b
    And 4 seconds pass
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The first server is paused until after its removal, and resumes
    When the request is sent to a and takes 1 second
    And a is paused for 3 seconds
    And the fleet removes a
    And it is retried at b
    And 4 seconds pass
    And a rejoins without a restart
    And it is retried at c
    Then the request ran once

  Scenario: A server resumes in the middle of its claim, after another has run the request
    When messages from a to other servers take 1 second
    And the request is sent to a
    And a is paused for 3 seconds
    And the fleet removes a
    And it is retried at b
    And 5 seconds pass
    Then the request ran once

  Scenario: A replica is paused while the request is claimed
    When the first replica is paused for 2 seconds
    And the request is sent to the second replica
    And it is retried at the third replica
    And 3 seconds pass
    Then the request ran once, and all waiting attempts got its answer

  # -- killed servers

  Scenario: The first server is killed after it has run the request
    When the request is sent to a
    And 1 second passes
    And a is killed
    And the fleet removes a
    And it is retried at b
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The first server is killed while it runs the request
    When the request is sent to a and never completes there
    And a is killed
    And the fleet removes a
    And it is retried at b
    And 4 seconds pass
    Then the request ran once
    And the last attempt failed, and was not rejected

  Scenario: The first server restarts with an empty store, and receives the retry
    When the request is sent to a
    And 1 second passes
    And a is killed
    And a restarts with an empty store
    And the fleet admits a again
    And it is retried at a
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The replicas restart with an empty store one after another
    When the request is sent to a
    And the first replica is killed and restarts with an empty store
    And the second replica is killed and restarts with an empty store
    And the third replica is killed and restarts with an empty store
    And it is retried at b
    Then the request ran once, and all waiting attempts got its answer

  Scenario: Two replicas restart with an empty store, and no retry runs before all windows are over
    When the request is sent to a
    And the first and the second replica restart with an empty store at the same time
    And it is retried at another server
    And 3 seconds pass
    Then the request ran once
    And the last attempt was rejected, or got the answer
    When 9 seconds pass
    Then every server is ready again for all its ranges

  Scenario: The fleet is available again after all servers restart with an empty store
    When the request is sent to a
    And all servers restart with an empty store
    And 12 seconds pass
    And a request with another key is sent to b
    Then that other request was completed

  # -- links

  Scenario: A server can't reach a majority
    When a is partitioned from all other servers
    And the request is sent to a
    And 2 seconds pass
    Then the last attempt was rejected, or got the answer
    And the request never ran

  Scenario: A retry arrives on the other side of a partition
    When the request is sent to a
    And a zone with a and b is partitioned from the other servers
    And it is retried at c
    And it is retried at a
    And 4 seconds pass
    Then the request ran once

  Scenario: The request arrives on both sides of a partition at the same time
    When a zone with a and b is partitioned from the other servers
    And the request is sent to all servers at the same time
    And 4 seconds pass
    And the partition heals
    And 2 seconds pass
    And it is retried at another server
    Then the request ran at most once

  Scenario: The replicas receive a claim, but their answers are lost in a one-way partition
    When a receives no messages from other servers
    And the request is sent to a
    And 1 second passes
    And it is retried at b
    And 4 seconds pass
    Then the request ran at most once
    When the partition heals
    And 2 seconds pass
    And it is retried at c
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The links lose a third of all messages
    When a third of all messages is lost, and some are duplicated
    And the request is sent to all servers at the same time
    And 4 seconds pass
    Then the request ran at most once

  Scenario: A claim whose answers are lost is released
    When a receives no messages from other servers
    And the request is sent to a
    And 1 second passes
    And the partition heals
    And 2 seconds pass
    And it is retried at b
    Then the request ran once, and the last attempt got its answer

  # -- zones

  Scenario: A zone is lost
    When the request is sent to a
    And the zone of the first replica is lost
    And it is retried at another server
    Then the request ran once, and all waiting attempts got its answer

  Scenario: A zone is lost while the request runs in another
    When the request is sent to another server and takes 1 second
    And the zone of the first replica is lost
    And it is retried at yet another server
    And 3 seconds pass
    Then the request ran once, and all waiting attempts got its answer

  # -- view changes and transfers

  Scenario: The copies of the request's entry move to other replicas one by one
    When the request is sent to a
    And the servers restart one after another with an empty store
    And it is retried at c
    Then the request ran once, and all waiting attempts got its answer

  Scenario: The view reaches some servers late
    When the request is sent to a
    And the first replica crashes, and for 1 second only the second replica has the new view
    And it is retried at the second replica
    And 3 seconds pass
    Then the request ran once

  Scenario: A replica is partitioned while it catches up
    Given 200 other requests have run
    When the request is sent to a
    And the first replica restarts with an empty store, and is partitioned while it catches up
    And it is retried at the second replica
    And 1 second passes
    Then the partitioned replica is not ready
    When the partition heals
    And 3 seconds pass
    And it is retried at the first replica
    Then the request ran once, and all waiting attempts got its answer
    And every server is ready again for all its ranges

  Scenario: Requests run while a replica catches up
    Given 200 other requests have run
    When the first replica is killed and restarts with an empty store
    And 50 more requests are sent to all servers
    And 3 seconds pass
    Then each of these requests ran once
    And every server is ready again for all its ranges

  Scenario: Copies that differ are repaired
    When the request is sent to a
    And 1 second passes
    And one replica loses the request's entry
    And 6 seconds pass
    Then every replica has the request's outcome

  Scenario: Two outcomes of one request are stored and logged
    When the request is sent to a
    And 1 second passes
    And one replica stores a different outcome of the request
    And 6 seconds pass
    Then every replica has both outcomes, and they were logged with their details
    And a retry does not run again

  Scenario: Two replicas leave gracefully at the same time
    When the request is sent to a
    And the first and the second replica leave gracefully at the same time
    Then every server is ready again for all its ranges
    When it is retried at another server
    Then the request ran once, and all waiting attempts got its answer

  Scenario: Two replicas crash at the same time, and one of them is started again
    When the request is sent to a
    And the first and the second replica crash at the same time
    And it is retried at another server
    And 12 seconds pass
    Then the request ran once
    And the last attempt was rejected, or got the answer
    When the first replica is started again under its name
    And 9 seconds pass
    Then every server is ready again for all its ranges

  # -- bounds

  Scenario: The replicas are full
    Given replicas with a capacity of 3 entries
    When 20 more requests are sent to all servers
    And 2 seconds pass
    Then each of these requests ran at most once, and some were rejected

  Scenario: Expired entries are not sent to a replica that restarts
    Given 200 other requests have run
    When 9 seconds pass
    And the first replica is killed and restarts with an empty store
    Then it received no entries

  # -- sessions

  Scenario: A session's binding changes only if its version is as expected
    When server a binds the session if its version is 0
    And server b moves the session if its version is 1
    And server a moves the session if its version is 1
    Then the writes were answered with won, won and stale

  Scenario: A claim under an outdated binding is refused
    When server a binds the session if its version is 0
    And server b moves the session if its version is 1
    And a request of that session is sent to a with binding version 1
    Then that request was rejected, and never ran
