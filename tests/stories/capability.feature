Feature: A routing policy that each kind of hardware can carry out
  Servers differ: some have a lasting disk, some little memory, some an older program. The operators write once
  what each flow wants; each server runs what its kind can, and a flow goes only where it gets what it requires.

  Background:
    Given 3 rich, 3 diskless and 1 old servers in 3 zones

  Scenario: A policy given to one server comes into force on all
    When the policy "pay" number 1 is given to diskless-0
    Then version 1.0 holds everywhere within 10 s
    And it came into force at the same epoch everywhere

  Scenario: A flow goes only where it gets what it requires
    Given the policy "pay" number 1 holds
    Then rich-0 serves pay
    And old-0 does not serve pay but names others, as "this class can't run replicated-labels"
    And old-0 serves look

  Scenario: A flow goes to the servers that run what it prefers while they are enough
    Given the policy "pay" number 1 holds
    Then pay is on fallback level 0 everywhere
    And diskless-0 does not serve pay but names others, as "others run more of its preferred features"

  Scenario: A document with faults changes nothing and all of them are told
    Given the policy "pay" number 1 holds
    When a document with two faults is given to rich-0
    And 10 s pass
    Then it was not taken, with line 8 and line 11 named
    And version 1.0 holds everywhere

  Scenario: What no server can run is refused with the lines that can't hold
    Given the policy "pay" number 1 holds
    When the policy "impossible" number 2 is given to rich-0
    And 10 s pass
    Then it was not taken, with line 7 and line 8 named
    And version 1.0 holds everywhere

  Scenario: A number that was used is not taken again
    Given the policy "pay" number 3 holds
    When the policy "light" number 3 is given to rich-1
    And 10 s pass
    Then it was not taken, since "its number must be above"
    And version 3.0 holds everywhere

  Scenario: An earlier policy put back is a new version
    Given the policy "pay" number 1 holds
    And the policy "light" number 2 holds
    When the policy "pay" number 3 is given to rich-2
    Then version 3.0 holds everywhere within 10 s
    And version 2.0 was retired

  Scenario: A translation that says more than a server can run is refused there
    Given translations come out wrong
    When the policy "pay" number 1 is given to rich-0
    And 10 s pass
    Then diskless-0 refused it
    And nothing holds anywhere

  Scenario: A policy waits until the loss of the largest zone could be borne
    Given rich-1 and rich-2 are down
    When the policy "disk" number 1 is given to rich-0
    And 10 s pass
    Then nothing holds anywhere
    And a policy waits, since "flow pay has 0 cores with the largest zone lost"
    When rich-1 and rich-2 are up again
    Then version 1.0 holds everywhere within 20 s

  Scenario: Two flows that share their servers are counted together
    When the policy "both" number 1 is given to rich-0
    And 10 s pass
    Then nothing holds anywhere
    And a policy waits, since "flows pay, fee have 16 cores with the largest zone lost, 20 are needed"

  Scenario: Capable servers lost, the flow steps down everywhere at once
    Given the policy "pay" number 1 holds
    When rich-1 and rich-2 are down
    Then pay is on fallback level 1 everywhere within 15 s
    And diskless-0 serves pay
    And there was 1 change of what holds

  Scenario: A short absence changes nothing
    Given the policy "pay" number 1 holds
    When rich-1 stands still for 0.8 s
    And 10 s pass
    Then there was 0 changes of what holds

  Scenario: A server gone for less than the dwell changes nothing
    Given the policy "pay" number 1 holds
    And rich-1 and rich-2 are down for 1.5 s of the fleet's view
    When 20 s pass
    Then there was 0 changes of what holds

  Scenario: With the servers back the flow steps up again, slowly
    Given the policy "pay" number 1 holds
    When rich-1 and rich-2 are down
    And pay came to fallback level 1
    And rich-1 and rich-2 are up again
    And 6 s pass
    Then pay is on fallback level 1 everywhere
    And pay is on fallback level 0 everywhere within 20 s
    And there was 2 changes of what holds

  Scenario: Servers that come and go cause one step down, not one each time
    Given the policy "pay" number 1 holds
    When rich-1 and rich-2 go down and come back 4 times, 7 s each
    And 25 s pass
    Then there was at most 2 changes of what holds
    And pay is on fallback level 0 everywhere

  Scenario: What is required is never stepped down
    Given the policy "disk" number 1 holds
    When rich-0, rich-1 and rich-2 are down
    And 20 s pass
    Then diskless-0 denies pay, as "no member can run durable-recall"
    And diskless-0 serves look

  Scenario: A denied flow is served again when those return who can run it
    Given the policy "disk" number 1 holds
    When rich-0, rich-1 and rich-2 are down
    And 10 s pass
    And rich-0, rich-1 and rich-2 are up again
    And 10 s pass
    Then rich-1 serves pay

  Scenario: A minority brings nothing into force
    Given the policy "pay" number 1 holds
    When diskless-0 and old-0 are cut off
    And the policy "light" number 2 is given to diskless-0
    And 10 s pass
    Then version 1.0 holds everywhere
    And no epoch had two policies

  Scenario: A new version during a cut, and the minority takes it up when it hears again
    Given the policy "pay" number 1 holds
    When diskless-0 and old-0 are cut off
    And the policy "light" number 2 is given to rich-0
    And 10 s pass
    Then version 2.0 holds on rich-0, rich-1, rich-2, diskless-1 and diskless-2
    And version 1.0 holds on diskless-0 and old-0
    When the cut is healed
    Then version 2.0 holds everywhere within 15 s
    And no epoch had two policies

  Scenario: Both sides of a cut are given a new version
    Given the policy "pay" number 1 holds
    When diskless-0 and old-0 are cut off
    And the policy "light" number 2 is given to diskless-0
    And the policy "disk" number 3 is given to rich-0
    And 10 s pass
    And the cut is healed
    Then version 3.0 holds everywhere within 15 s
    And no epoch had two policies

  Scenario: A minority does not step down for servers that it can't hear
    Given the policy "pay" number 1 holds
    When diskless-0 and old-0 are cut off
    And 20 s pass
    Then pay is on fallback level 0 on diskless-0 and old-0

  Scenario: A server that starts anew denies until it has the policy that holds
    Given the policy "pay" number 1 holds
    When rich-0 starts anew and nobody answers it
    Then rich-0 denies pay, as "the active policy has not been fetched yet"
    When it is answered again
    Then version 1.0 holds everywhere within 15 s
    And rich-0 serves pay

  Scenario: A server that starts on other hardware is of another kind
    Given the policy "disk" number 1 holds
    When rich-0 starts anew as diskless
    And 10 s pass
    Then rich-0 does not serve pay but names others, as "this class can't run durable-recall"

  Scenario: A kind of hardware that the translation did not know
    Given the policy "pay" number 1 holds
    When a server small-0 joins
    Then version 1.1 holds everywhere within 20 s
    And what the other kinds run is as before
    And 1 member translated for it

  Scenario: The server that was given the policy dies once another has it
    When the policy "pay" number 1 is given to rich-0
    And rich-0 dies as soon as another holds it
    Then version 1.0 holds everywhere within 30 s

  Scenario: A version that nobody could fetch before its server died keeps no other back
    Given pieces of policies are lost
    When the policy "light" number 2 is given to rich-0
    And 5 s pass
    And rich-0 and rich-1 are down
    And 1 s pass
    And it is answered again
    And the policy "pay" number 1 is given to diskless-0
    Then version 1.0 holds everywhere within 20 s

  Scenario: The member whose turn it is to translate dies before it is done
    Given the policy "pay" number 1 holds
    When a server small-0 joins
    And the one that translates for it dies
    Then version 1.1 holds everywhere within 40 s

  Scenario: Two versions given at once
    When the policy "pay" number 1 is given to rich-0
    And the policy "light" number 2 is given to diskless-1
    Then version 2.0 holds everywhere within 20 s
    And no epoch had two policies

  Scenario: A tenth of all messages is lost
    Given a tenth of all messages is lost
    When the policy "pay" number 1 is given to rich-0
    Then version 1.0 holds everywhere within 60 s
    And no epoch had two policies

  Scenario: A member that stood still while a version changed never serves by the old one at the new epoch
    Given the policy "pay" number 1 holds
    When rich-2 stands still for 12 s
    And the policy "disk" number 2 is given to rich-0
    And 25 s pass
    Then version 2.0 holds everywhere
    And no epoch had two policies

  Scenario: What members tell each other of policies is bounded
    Given the policy "pay" number 1 holds
    When 6 more versions are given one after another
    Then no member holds more than 4 bundles
