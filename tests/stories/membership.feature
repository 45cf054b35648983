Feature: Membership of the fleet, as operators see it

  Scenario: A crashed server is removed from every list within seconds
    Given a fleet of 8 servers
    When s3 crashes
    Then within 6 seconds s3 is removed on all, in 1 change
    And nobody else was removed

  Scenario: Two servers that crash together are removed in one change
    Given a fleet of 8 servers
    When s3 crashes
    And s6 crashes
    Then within 8 seconds s3 and s6 are removed on all, in 1 change
    And nobody else was removed

  Scenario: A crashed server that restarts rejoins with a new incarnation
    Given a fleet of 5 servers
    When s3 crashes
    And 8 seconds pass
    And s3 restarts with its clock 0 seconds off
    Then within 5 seconds all agree on 5 servers
    And s3 has a higher incarnation than before

  Scenario: A server whose clock was set back an hour still rejoins
    Given a fleet of 5 servers
    When s3 crashes
    And s3 restarts with its clock -3600 seconds off
    Then within 10 seconds all agree on 5 servers
    And s3 has a higher incarnation than before

  Scenario: A short pause of one server changes nothing
    Given a fleet of 8 servers
    When s2 is paused for 2 seconds
    And 20 seconds pass
    Then the list did not change

  Scenario: A server paused for long is removed once and rejoins by itself once
    Given a fleet of 8 servers
    When s2 is paused for 15 seconds
    And 14 seconds pass
    Then s2 is removed on all others, in 1 change
    When 11 seconds pass
    Then all agree on 8 servers
    And they rejoined in at most 1 change

  Scenario: Three of eight that are partitioned are removed together and rejoin together
    Given a fleet of 8 servers
    When s1, s4 and s6 are partitioned
    And 25 seconds pass
    Then s1, s4 and s6 are removed on all others, in 1 change
    When the partition heals
    And 10 seconds pass
    Then all agree on 8 servers
    And they rejoined in at most 2 changes

  Scenario: Servers partitioned with all their seeds rejoin
    Given a fleet of 8 servers
    When s0, s1 and s5 are partitioned
    And 25 seconds pass
    Then s0, s1 and s5 are removed on all others, in 1 change
    When the partition heals
    And 10 seconds pass
    Then all agree on 8 servers
    And they rejoined in at most 2 changes

  Scenario: The minority side of a partition decides nothing
    Given a fleet of 7 servers
    When s1, s4 and s6 are partitioned
    And 30 seconds pass
    Then s1, s4 and s6 still list 7 servers

  Scenario: Two equal halves of a partition change nothing, also after it heals
    Given a fleet of 8 servers
    When s0, s1, s2 and s3 are partitioned
    And 25 seconds pass
    And the partition heals
    And 20 seconds pass
    Then the list did not change

  Scenario: A pause of the whole host removes nobody
    Given a fleet of 8 servers
    When all are paused for 20 seconds and resume over 2 seconds
    And 45 seconds pass
    Then the list did not change

  Scenario: Only the server that crashes during a pause of the whole host is removed
    Given a fleet of 8 servers
    When all are paused for 20 seconds and resume over 2 seconds
    And 10 seconds pass
    And s3 crashes
    And 32 seconds pass
    Then s3 is removed on all, in 1 change
    And nobody else was removed

  Scenario: Half of the servers pause with their host and rejoin
    Given a fleet of 9 servers
    When s1, s2, s3 and s4 are paused for 20 seconds
    And 35 seconds pass
    Then all agree on 9 servers
    And nobody else was removed but s1, s2, s3 and s4

  Scenario: A one-way partition changes nothing
    Given a fleet of 7 servers
    When s4 can no longer send to s1
    And 40 seconds pass
    Then the list did not change

  Scenario: A flapping link changes the list at most once
    Given a fleet of 7 servers
    When the link between s5 and s0 flaps 15 times, every 2 seconds
    And 20 seconds pass
    Then the list changed at most 1 time
    And all agree on one list

  Scenario: Losing a tenth of all messages for a minute removes nobody
    Given a fleet of 8 servers
    When 10 percent of all messages are lost
    And 60 seconds pass
    Then the list did not change

  Scenario: A crash is detected while a tenth of all messages are lost
    Given a fleet of 8 servers
    When 10 percent of all messages are lost
    And s3 crashes
    Then within 10 seconds s3 is removed on all, in 1 change
    And nobody else was removed

  Scenario: A server that is asked to leave is removed at once
    Given a fleet of 8 servers
    When s4 is asked to leave
    Then within 1 seconds s4 is removed on all, in 1 change

  Scenario: The metadata of a server is restored after a long pause
    Given a fleet of 5 servers
    When s2 is paused for 15 seconds
    And 25 seconds pass
    Then all agree on 5 servers
    And all list the address metadata of each
