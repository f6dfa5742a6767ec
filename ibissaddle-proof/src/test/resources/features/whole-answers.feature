Feature: Every caller gets the whole answer to its own request

  Scenario Outline: Engine streams are truncated, duplicated, mixed up and incomplete
    Given the three regions of <deployment>
    When the engines truncate, duplicate, mix up and drop events of their answers
    And 12 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then every caller has its whole answer or sees that it has not

    Examples:
      | deployment  | workspace | instance |
      | cooperative | members   | ub-1-a   |
      | stratka     | families  | ke-1-a   |

  Scenario Outline: A truncated answer is resumed
    Given the three regions of <deployment>
    When engine "<one>" truncates its next answer after 5 events
    And engine "<other>" truncates its next answer after 5 events
    And 6 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then every caller has its whole answer

    Examples:
      | deployment  | workspace | instance | one           | other         |
      | cooperative | members   | da-1-a   | engine-da-1-a | engine-da-1-b |
      | stratka     | families  | ba-1-a   | engine-ba-1-a | engine-ba-1-b |
