Feature: No request loops between regions or backend servers

  Scenario Outline: No region can serve the request, and each could forward it to another
    Given the three regions of <deployment>
    When every engine rejects new requests
    And 12 callers of workspace "<workspace>" send dossiers to instance "<one>"
    And 12 callers of workspace "<workspace>" send dossiers to instance "<other>"
    Then every caller has its whole answer or sees that it has not
    And no request was forwarded more than once

    Examples:
      | deployment  | workspace | one    | other  |
      | cooperative | members   | ub-1-a | da-1-a |
      | stratka     | families  | ke-1-a | za-1-a |
