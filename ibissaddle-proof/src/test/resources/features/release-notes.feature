Feature: An accepted release note is in force everywhere and never reverts

  Scenario Outline: A new note, then a platform that has gone back, then a restart
    Given the three regions of <deployment>
    When note 2 is published
    Then note 2 is in force at every instance
    When the platform goes back to what it had before note 2
    And instance "<instance>" is killed
    And instance "<instance>" starts again
    Then note 2 is in force at instance "<instance>"
    And note 2 is in force at every instance

    Examples:
      | deployment  | instance |
      | cooperative | da-1-a   |
      | stratka     | ba-1-a   |

  Scenario Outline: An instance that slept wakes beside a stale platform
    Given the three regions of <deployment>
    When instance "<instance>" is paused
    And note 2 is published
    Then note 2 is in force at instance "<neighbour>"
    When the platform goes back to what it had before note 2
    And instance "<instance>" wakes
    Then note 2 is in force at every instance
    And instance "<instance>" never went back behind note 2

    Examples:
      | deployment  | instance | neighbour |
      | cooperative | da-1-a   | ub-1-a    |
      | stratka     | ba-1-a   | ke-1-a    |

  Scenario Outline: A note with a fault is refused whole
    Given the three regions of <deployment>
    When a note with a fault is published
    Then instance "<instance>" says loudly that it refused the note
    And note 1 is in force at every instance

    Examples:
      | deployment  | instance |
      | cooperative | da-1-a   |
      | stratka     | ba-1-a   |
