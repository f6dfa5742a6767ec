Feature: A request that crashes engines does not take the others with it

  Scenario Outline: Return on cold caches while a caller sends a crashing request again and again
    Given the three regions of <deployment>
    And every engine crashes on the dossier "the broken dossier" and is started again
    When region "<region>" is cut off from the platform and the other regions
    And 6 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    And the network heals
    And a caller of workspace "<workspace>" sends the dossier "the broken dossier" to instance "<instance>" 8 times
    Then the caller is refused as "quarantined" and the request was not run
    And at most 6 engines have crashed
    When 6 callers of workspace "<workspace>" send dossiers to instance "<instance>"
    Then the caller has its whole answer
    And every caller has its whole answer or sees that it has not

    Examples:
      | deployment  | region     | instance | workspace |
      | cooperative | Darkhan    | da-1-a   | members   |

    @known-red
    Examples:
      | deployment  | region     | instance | workspace |
      | stratka     | Bratislava | ba-1-a   | families  |
