Feature: Leaving servers receive no new requests, and a graceful shutdown interrupts no request

  Scenario Outline: The platform lists a backend server as leaving
    Given the three regions of <deployment>
    When the platform lists engine "<engine>" as leaving
    And 12 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then every caller has its whole answer
    And engine "<engine>" got no new work

    Examples:
      | deployment  | workspace | instance | engine        |
      | cooperative | members   | da-1-a   | engine-da-1-a |

    @known-red
    Examples:
      | deployment  | workspace | instance | engine        |
      | stratka     | families  | ba-1-a   | engine-ba-1-a |

  Scenario Outline: An instance shuts down while it streams a long answer
    Given the three regions of <deployment>
    When a caller of workspace "<workspace>" waits for a long answer from instance "<instance>"
    And instance "<instance>" is asked to stop
    And a caller of workspace "<workspace>" sends a dossier to instance "<instance>"
    Then the caller has its whole answer
    And the long answer is complete
    And instance "<instance>" exits gracefully without failed requests

    Examples:
      | deployment  | workspace | instance |
      | cooperative | members   | ub-1-a   |
      | stratka     | families  | ke-1-a   |
