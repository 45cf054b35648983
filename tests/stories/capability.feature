Feature: A routing policy for a fleet of different classes of hosts
  Some servers have persistent storage, some little memory, some an older build. The operators write one document
  with the features that each flow requires or prefers. Each server runs the features that its class can, and a
  flow is served only by servers that run its required features.

  Background:
    Given 3 rich, 3 diskless and 1 old servers in 3 zones

  Scenario: A policy proposed to one server becomes active on all
    When the policy "pay" number 1 is proposed to diskless-0
    Then version 1.0 is active everywhere within 10 s
    And it became active at the same epoch everywhere

  Scenario: A flow is served only by servers that run its required features
    Given the policy "pay" number 1 is active
    Then rich-0 serves pay
    And old-0 refers pay to others, with the reason "this class can't run replicated-labels"
    And old-0 serves look

  Scenario: A flow is served by the servers that run its preferred features while their capacity suffices
    Given the policy "pay" number 1 is active
    Then pay is on fallback level 0 everywhere
    And diskless-0 refers pay to others, with the reason "others run more of its preferred features"

  Scenario: A document with faults changes nothing and all faults are reported
    Given the policy "pay" number 1 is active
    When a document with two faults is proposed to rich-0
    And 10 s pass
    Then it was not accepted, with faults in line 8 and line 11
    And version 1.0 is active everywhere

  Scenario: A policy that no server can run is not accepted and the conflicting lines are reported
    Given the policy "pay" number 1 is active
    When the policy "impossible" number 2 is proposed to rich-0
    And 10 s pass
    Then it was not accepted, with faults in line 7 and line 8
    And version 1.0 is active everywhere

  Scenario: A policy number can't be used again
    Given the policy "pay" number 3 is active
    When the policy "light" number 3 is proposed to rich-1
    And 10 s pass
    Then it was not accepted, with the reason "its number must be above"
    And version 3.0 is active everywhere

  Scenario: Restoring an earlier policy is a new version
    Given the policy "pay" number 1 is active
    And the policy "light" number 2 is active
    When the policy "pay" number 3 is proposed to rich-2
    Then version 3.0 is active everywhere within 10 s
    And version 2.0 was retired

  Scenario: A translation that exceeds the capabilities of a server is rejected there
    Given translations are wrong
    When the policy "pay" number 1 is proposed to rich-0
    And 10 s pass
    Then diskless-0 rejected it
    And no policy is active on any member

  Scenario: A policy waits until the capacity suffices without the largest zone
    Given rich-1 and rich-2 are down
    When the policy "disk" number 1 is proposed to rich-0
    And 10 s pass
    Then no policy is active on any member
    And a staged policy waits, with the reason "flow pay has 0 cores with the largest zone lost"
    When rich-1 and rich-2 are up again
    Then version 1.0 is active everywhere within 20 s

  Scenario: The loads of two flows that share their servers are added up
    When the policy "both" number 1 is proposed to rich-0
    And 10 s pass
    Then no policy is active on any member
    And a staged policy waits, with the reason "flows pay, fee have 16 cores with the largest zone lost, 20 are needed"

  Scenario: When capable servers are lost the flow steps down everywhere at once
    Given the policy "pay" number 1 is active
    When rich-1 and rich-2 are down
    Then pay is on fallback level 1 everywhere within 15 s
    And diskless-0 serves pay
    And there was 1 change of the active policy or its levels

  Scenario: A short absence changes nothing
    Given the policy "pay" number 1 is active
    When rich-1 is paused for 0.8 s
    And 10 s pass
    Then there was 0 changes of the active policy or its levels

  Scenario: An absence of less than the dwell time changes nothing
    Given the policy "pay" number 1 is active
    And rich-1 and rich-2 leave the view and rejoin it within 1.5 s
    When 20 s pass
    Then there was 0 changes of the active policy or its levels

  Scenario: When the servers are back the flow steps up after the longer dwell time
    Given the policy "pay" number 1 is active
    When rich-1 and rich-2 are down
    And pay reaches fallback level 1
    And rich-1 and rich-2 are up again
    And 6 s pass
    Then pay is on fallback level 1 everywhere
    And pay is on fallback level 0 everywhere within 20 s
    And there was 2 changes of the active policy or its levels

  Scenario: Servers that come and go repeatedly cause only one step down
    Given the policy "pay" number 1 is active
    When rich-1 and rich-2 go down and come back 4 times, 7 s each
    And 25 s pass
    Then there was at most 2 changes of the active policy or its levels
    And pay is on fallback level 0 everywhere

  Scenario: Required features are never given up
    Given the policy "disk" number 1 is active
    When rich-0, rich-1 and rich-2 are down
    And 20 s pass
    Then diskless-0 rejects pay, with the reason "no member can run durable-recall"
    And diskless-0 serves look

  Scenario: A rejected flow is served again when servers that can run it return
    Given the policy "disk" number 1 is active
    When rich-0, rich-1 and rich-2 are down
    And 10 s pass
    And rich-0, rich-1 and rich-2 are up again
    And 10 s pass
    Then rich-1 serves pay

  Scenario: A minority can't activate a policy
    Given the policy "pay" number 1 is active
    When diskless-0 and old-0 are partitioned from the others
    And the policy "light" number 2 is proposed to diskless-0
    And 10 s pass
    Then version 1.0 is active everywhere
    And no epoch had two policies

  Scenario: A version activated during a partition reaches the minority when the partition is healed
    Given the policy "pay" number 1 is active
    When diskless-0 and old-0 are partitioned from the others
    And the policy "light" number 2 is proposed to rich-0
    And 10 s pass
    Then version 2.0 is active on rich-0, rich-1, rich-2, diskless-1 and diskless-2
    And version 1.0 is active on diskless-0 and old-0
    When the partition is healed
    Then version 2.0 is active everywhere within 15 s
    And no epoch had two policies

  Scenario: Both sides of a partition are proposed a new version
    Given the policy "pay" number 1 is active
    When diskless-0 and old-0 are partitioned from the others
    And the policy "light" number 2 is proposed to diskless-0
    And the policy "disk" number 3 is proposed to rich-0
    And 10 s pass
    And the partition is healed
    Then version 3.0 is active everywhere within 15 s
    And no epoch had two policies

  Scenario: A minority does not step down for servers that it can't reach
    Given the policy "pay" number 1 is active
    When diskless-0 and old-0 are partitioned from the others
    And 20 s pass
    Then pay is on fallback level 0 on diskless-0 and old-0

  Scenario: A restarted server rejects requests until it has the active policy
    Given the policy "pay" number 1 is active
    When rich-0 restarts and receives no bundle chunks
    Then rich-0 rejects pay, with the reason "the active policy has not been fetched yet"
    When bundle chunks arrive again
    Then version 1.0 is active everywhere within 15 s
    And rich-0 serves pay

  Scenario: A server that restarts on other hardware is of another class
    Given the policy "disk" number 1 is active
    When rich-0 restarts as diskless
    And 10 s pass
    Then rich-0 refers pay to others, with the reason "this class can't run durable-recall"

  Scenario: A server of a new class joins
    Given the policy "pay" number 1 is active
    When a server small-0 joins
    Then version 1.1 is active everywhere within 20 s
    And the plans of the other classes are unchanged
    And 1 member translated for it

  Scenario: The server that the policy was proposed to crashes once another member has the bundle
    When the policy "pay" number 1 is proposed to rich-0
    And rich-0 crashes as soon as another member holds the bundle
    Then version 1.0 is active everywhere within 30 s

  Scenario: A version that no member could fetch before its server crashed does not block another
    Given bundle chunks are lost
    When the policy "light" number 2 is proposed to rich-0
    And 5 s pass
    And rich-0 and rich-1 are down
    And 1 s pass
    And bundle chunks arrive again
    And the policy "pay" number 1 is proposed to diskless-0
    Then version 1.0 is active everywhere within 20 s

  Scenario: The member whose turn it is to translate crashes before it finishes
    Given the policy "pay" number 1 is active
    When a server small-0 joins
    And the member that translates for it crashes
    Then version 1.1 is active everywhere within 40 s

  Scenario: Two versions are proposed at once
    When the policy "pay" number 1 is proposed to rich-0
    And the policy "light" number 2 is proposed to diskless-1
    Then version 2.0 is active everywhere within 20 s
    And no epoch had two policies

  Scenario: A tenth of all messages is lost
    Given a tenth of all messages is lost
    When the policy "pay" number 1 is proposed to rich-0
    Then version 1.0 is active everywhere within 60 s
    And no epoch had two policies

  Scenario: A member that was paused during a change of version never applies the old one at the new epoch
    Given the policy "pay" number 1 is active
    When rich-2 is paused for 12 s
    And the policy "disk" number 2 is proposed to rich-0
    And 25 s pass
    Then version 2.0 is active everywhere
    And no epoch had two policies

  Scenario: The number of stored bundles is bounded
    Given the policy "pay" number 1 is active
    When 6 more versions are proposed one after another
    Then no member holds more than 4 bundles
