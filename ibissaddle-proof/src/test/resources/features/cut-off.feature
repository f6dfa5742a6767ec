Feature: A region isolated by a network partition keeps serving its own callers

  Scenario Outline: A region is isolated from the platform and the other regions
    Given the three regions of <deployment>
    When region "<region>" is cut off from the platform and the other regions
    And a caller of workspace "<bound>" sends a dossier to instance "<instance>"
    And 6 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then every caller has its whole answer
    When the network heals
    And a caller of workspace "<workspace>" sends a dossier to instance "<instance>"
    Then the caller has its whole answer

    Examples:
      | deployment  | region     | instance | bound              | workspace |
      | cooperative | Darkhan    | da-1-a   | darkhan-yard       | members   |
      | stratka     | Bratislava | ba-1-a   | bratislava-station | families  |

  Scenario Outline: A region is isolated and an instance of another region is killed
    Given the three regions of <deployment>
    When region "<region>" is cut off from the platform and the other regions
    And instance "<victim>" is killed
    And 6 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    And 6 callers of workspace "<workspace>" send dossiers to instance "<neighbour>"
    Then every caller has its whole answer
    When the network heals
    And instance "<victim>" is restarted
    Then instance "<victim>" is ready
    When a caller of workspace "<workspace>" sends a dossier to instance "<victim>"
    Then the caller has its whole answer

    Examples:
      | deployment  | region     | instance | victim | neighbour | workspace |
      | cooperative | Darkhan    | da-1-a   | ub-1-a | ub-2-a    | members   |
      | stratka     | Bratislava | ba-1-a   | ke-1-a | ke-2-a    | families  |
