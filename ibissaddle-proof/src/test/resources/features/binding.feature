Feature: A request bound to a region is never served or stored outside it

  Scenario Outline: An instance elsewhere refuses and names the instance to use
    Given the three regions of <deployment>
    When a caller of workspace "<workspace>" sends a dossier to instance "<elsewhere>"
    Then the caller is refused as "wrong-region" and the request was not run
    And the refusal names instance "<at home>"
    And no engine outside region "<home>" has seen a request
    When a caller of workspace "<workspace>" sends a dossier to instance "<at home>"
    Then the caller has its whole answer
    And no engine outside region "<home>" has seen a request
    And no instance tells the name of workspace "<workspace>" in its time line

    Examples:
      | deployment  | workspace          | home       | at home | elsewhere |
      | cooperative | darkhan-yard       | Darkhan    | da-1-a  | ub-1-a    |
      | stratka     | bratislava-station | Bratislava | ba-1-a  | ke-1-a    |

  Scenario Outline: Bound work stays at home when no engine there takes it
    Given the three regions of <deployment>
    When every engine of region "<home>" takes no new work
    And a caller of workspace "<workspace>" sends a dossier to instance "<at home>"
    Then the caller is not served
    And no engine outside region "<home>" has seen a request

    Examples:
      | deployment  | workspace          | home       | at home |
      | cooperative | darkhan-yard       | Darkhan    | da-1-a  |
      | stratka     | bratislava-station | Bratislava | ba-1-a  |
