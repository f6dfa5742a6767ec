Feature: A request bound to a region is never served or stored outside it

  Scenario Outline: An instance of another region refuses the request and names an instance of the bound region
    Given the three regions of <deployment>
    When a caller of workspace "<workspace>" sends a dossier to instance "<elsewhere>"
    Then the caller is refused as "wrong-region" and the request was not run
    And the refusal names instance "<home instance>"
    And no engine outside region "<home>" has seen a request
    When a caller of workspace "<workspace>" sends a dossier to instance "<home instance>"
    Then the caller has its whole answer
    And no engine outside region "<home>" has seen a request
    And no instance exposes the name of workspace "<workspace>" in its timeline

    Examples:
      | deployment  | workspace          | home       | home instance | elsewhere |
      | cooperative | darkhan-yard       | Darkhan    | da-1-a        | ub-1-a    |
      | stratka     | bratislava-station | Bratislava | ba-1-a        | ke-1-a    |

  Scenario Outline: A bound request is not served elsewhere when no engine of its region accepts it
    Given the three regions of <deployment>
    When every engine of region "<home>" rejects new requests
    And a caller of workspace "<workspace>" sends a dossier to instance "<home instance>"
    Then the caller is not served
    And no engine outside region "<home>" has seen a request

    Examples:
      | deployment  | workspace          | home       | home instance |
      | cooperative | darkhan-yard       | Darkhan    | da-1-a        |
      | stratka     | bratislava-station | Bratislava | ba-1-a        |
