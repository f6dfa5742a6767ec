Feature: Leaving servers get no new work, and a graceful shutdown cuts no request

  Scenario Outline: A backend server leaves
    Given the three regions of <deployment>
    When the list of live instances says that engine "<engine>" leaves
    And 12 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then every caller has its whole answer
    And engine "<engine>" got no new work

    Examples:
      | deployment  | workspace | instance | engine        |
      | cooperative | members   | da-1-a   | engine-da-1-a |
      | stratka     | families  | ba-1-a   | engine-ba-1-a |

  Scenario Outline: An instance is asked to stop while a long answer is on its way
    Given the three regions of <deployment>
    When a caller of workspace "<workspace>" waits for a long answer from instance "<instance>"
    And instance "<instance>" is asked to stop
    And a caller of workspace "<workspace>" sends a dossier to instance "<instance>"
    Then the caller has its whole answer
    And the long answer is whole
    And instance "<instance>" ends by itself without a fault

    Examples:
      | deployment  | workspace | instance |
      | cooperative | members   | ub-1-a   |
      | stratka     | families  | ke-1-a   |
