Feature: Who is in the fleet, as its operators see it

  Scenario: A crashed server is out of every list within seconds
    Given a fleet of 8 servers
    When s3 crashes
    Then within 6 seconds s3 is out on all, in 1 change
    And nobody else was taken out

  Scenario: Two servers that crash together go in one change
    Given a fleet of 8 servers
    When s3 crashes
    And s6 crashes
    Then within 8 seconds s3 and s6 are out on all, in 1 change
    And nobody else was taken out

  Scenario: A crashed server that starts again is let in as somebody newer
    Given a fleet of 5 servers
    When s3 crashes
    And 8 seconds pass
    And s3 starts again, its clock 0 seconds off
    Then within 5 seconds all agree on 5 servers
    And s3 is newer than it was

  Scenario: A server whose clock was set back an hour is let in all the same
    Given a fleet of 5 servers
    When s3 crashes
    And s3 starts again, its clock -3600 seconds off
    Then within 10 seconds all agree on 5 servers
    And s3 is newer than it was

  Scenario: A short pause of one server changes nothing
    Given a fleet of 8 servers
    When s2 stands still for 2 seconds
    And 20 seconds pass
    Then the list did not change

  Scenario: A long pause of one server takes it out once, and it comes back by itself once
    Given a fleet of 8 servers
    When s2 stands still for 15 seconds
    And 14 seconds pass
    Then s2 is out on all others, in 1 change
    When 11 seconds pass
    Then all agree on 8 servers
    And they came back in at most 1 change

  Scenario: Three of eight that are cut off go together and come back together
    Given a fleet of 8 servers
    When s1, s4 and s6 are cut off
    And 25 seconds pass
    Then s1, s4 and s6 are out on all others, in 1 change
    When the cut heals
    And 10 seconds pass
    Then all agree on 8 servers
    And they came back in at most 2 changes

  Scenario: Servers cut off with all their seeds find their way back
    Given a fleet of 8 servers
    When s0, s1 and s5 are cut off
    And 25 seconds pass
    Then s0, s1 and s5 are out on all others, in 1 change
    When the cut heals
    And 10 seconds pass
    Then all agree on 8 servers
    And they came back in at most 2 changes

  Scenario: The small side of a cut decides nothing
    Given a fleet of 7 servers
    When s1, s4 and s6 are cut off
    And 30 seconds pass
    Then s1, s4 and s6 still hold 7 servers

  Scenario: Two equal halves change nothing, also when they meet again
    Given a fleet of 8 servers
    When s0, s1, s2 and s3 are cut off
    And 25 seconds pass
    And the cut heals
    And 20 seconds pass
    Then the list did not change

  Scenario: A stall of the whole host takes nobody out
    Given a fleet of 8 servers
    When all stand still for 20 seconds and go on over 2 seconds
    And 45 seconds pass
    Then the list did not change

  Scenario: A server that dies while the whole host stalls is out soon after, alone
    Given a fleet of 8 servers
    When all stand still for 20 seconds and go on over 2 seconds
    And 10 seconds pass
    And s3 crashes
    And 32 seconds pass
    Then s3 is out on all, in 1 change
    And nobody else was taken out

  Scenario: Half of the servers stall with their host and come back
    Given a fleet of 9 servers
    When s1, s2, s3 and s4 stand still for 20 seconds
    And 35 seconds pass
    Then all agree on 9 servers
    And nobody else was taken out but s1, s2, s3 and s4

  Scenario: A cut that runs one way changes nothing
    Given a fleet of 7 servers
    When s4 is no longer heard by s1
    And 40 seconds pass
    Then the list did not change

  Scenario: A link that flips changes the list at most once
    Given a fleet of 7 servers
    When the link between s5 and s0 flips 15 times, every 2 seconds
    And 20 seconds pass
    Then the list changed at most 1 time
    And all agree on one list

  Scenario: A tenth of all messages lost for a minute takes nobody out
    Given a fleet of 8 servers
    When 10 percent of all messages are lost
    And 60 seconds pass
    Then the list did not change

  Scenario: A crash is found while a tenth of all messages are lost
    Given a fleet of 8 servers
    When 10 percent of all messages are lost
    And s3 crashes
    Then within 10 seconds s3 is out on all, in 1 change
    And nobody else was taken out

  Scenario: A server that is told to leave is out at once
    Given a fleet of 8 servers
    When s4 is told to leave
    Then within 1 seconds s4 is out on all, in 1 change

  Scenario: What a server says of itself is there again after a long pause
    Given a fleet of 5 servers
    When s2 stands still for 15 seconds
    And 25 seconds pass
    Then all agree on 5 servers
    And all know the link of each
