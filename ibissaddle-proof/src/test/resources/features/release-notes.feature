Feature: An accepted release note becomes active at every instance and never reverts

  Scenario Outline: A new note is published, the platform reverts, and an instance restarts
    Given the three regions of <deployment>
    When note 2 is published
    Then note 2 is active at every instance
    When the platform reverts to the configuration before note 2
    And instance "<instance>" is killed
    And instance "<instance>" is restarted
    Then note 2 is active at instance "<instance>"
    And note 2 is active at every instance

    Examples:
      | deployment  | instance |
      | cooperative | da-1-a   |
      | stratka     | ba-1-a   |

  Scenario Outline: A paused instance resumes while the platform is stale
    Given the three regions of <deployment>
    When instance "<instance>" is paused
    And note 2 is published
    Then note 2 is active at instance "<neighbour>"
    When the platform reverts to the configuration before note 2
    And instance "<instance>" is resumed
    Then note 2 is active at every instance
    And instance "<instance>" never activated an older note after a newer one, and activated note 2

    Examples:
      | deployment  | instance | neighbour |
      | cooperative | da-1-a   | ub-1-a    |
      | stratka     | ba-1-a   | ke-1-a    |

  Scenario Outline: An invalid note is rejected as a whole
    Given the three regions of <deployment>
    When an invalid note is published
    Then instance "<instance>" logs a warning about the note
    And note 1 is active at every instance

    Examples:
      | deployment  | instance |
      | cooperative | da-1-a   |
      | stratka     | ba-1-a   |
