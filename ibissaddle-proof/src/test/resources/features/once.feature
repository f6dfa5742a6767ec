Feature: A non-idempotent call runs at most once, and "not run" is true

  Scenario Outline: The same confirmation at all instances at once, and again
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the confirmation is sent to all instances at once
    And the confirmation is sent to instance "<instance>"
    Then the confirmation ran 1 time
    And no refusal said that a confirmation which ran was not run

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |

  Scenario Outline: The answer is lost after the call has run, and the caller sends it again
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the plain services lose the next answer after the call has run
    And the confirmation is sent to instance "<instance>"
    And the confirmation is sent to instance "<instance>"
    And the confirmation is sent to instance "<elsewhere>"
    Then the confirmation ran 1 time
    And no refusal said that a confirmation which ran was not run

    Examples:
      | deployment  | workspace | path             | instance | elsewhere |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   | da-1-a    |
      | stratka     | families  | /desk/notice     | ke-1-a   | za-1-a    |

  Scenario Outline: A plain service answers as if the call might be sent again
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the plain services ask for the next call to be sent again
    And the confirmation is sent to instance "<instance>"
    Then the confirmation ran 1 time

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |

  Scenario Outline: The owner is killed after the call has run and starts again with empty memory
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the confirmation is sent to instance "<instance>"
    And instance "<instance>" is killed
    And the confirmation is sent to instance "<elsewhere>"
    And instance "<instance>" starts again
    Then instance "<instance>" is ready
    When the confirmation is sent to instance "<instance>"
    And the confirmation is sent to all instances at once
    Then the confirmation ran 1 time
    And no refusal said that a confirmation which ran was not run

    Examples:
      | deployment  | workspace | path             | instance | elsewhere |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   | ub-2-a    |
      | stratka     | families  | /desk/courier    | ke-1-a   | ke-2-a    |

  Scenario Outline: A confirmation without a ticket is refused before anything runs
    Given the three regions of <deployment>
    When a confirmation for "<path>" of workspace "<workspace>" is sent to instance "<instance>" without a ticket
    Then the confirmation is refused as "ticket-required" and was not run
    And the confirmation ran 0 times

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |

  Scenario Outline: No plain service of the region can be reached
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the plain services refuse connections from instance "<instance>"
    And the confirmation is sent to instance "<instance>"
    Then no refusal said that a confirmation which ran was not run
    And the confirmation ran at most once

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |
