Feature: A non-idempotent call runs at most once, and "not run" is reported only if it did not run

  Scenario Outline: The same confirmation is sent to all instances concurrently, and then once more
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the confirmation is sent to all instances at once
    And the confirmation is sent to instance "<instance>"
    Then the confirmation ran 1 time
    And no confirmation that ran is reported as not run

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |

  Scenario Outline: The response is lost after the call has run, and the caller retries
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the plain services run the next call and close the connection without a response
    And the confirmation is sent to instance "<instance>"
    And the confirmation is sent to instance "<instance>"
    And the confirmation is sent to instance "<elsewhere>"
    Then the confirmation ran 1 time
    And no confirmation that ran is reported as not run

    Examples:
      | deployment  | workspace | path             | instance | elsewhere |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   | da-1-a    |
      | stratka     | families  | /desk/notice     | ke-1-a   | za-1-a    |

  Scenario Outline: A plain service runs the call but invites a retry
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the plain services run the next call and invite a retry with 503 or a redirect
    And the confirmation is sent to instance "<instance>"
    Then the confirmation ran 1 time

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |

  Scenario Outline: The owner of a ticket is killed after the call has run and restarts without its state
    Given the three regions of <deployment>
    And a caller of workspace "<workspace>" holds a ticket for "<path>" from instance "<instance>"
    When the confirmation is sent to instance "<instance>"
    And instance "<instance>" is killed
    And the confirmation is sent to instance "<elsewhere>"
    And instance "<instance>" is restarted
    Then instance "<instance>" is ready
    When the confirmation is sent to instance "<instance>"
    And the confirmation is sent to all instances at once
    Then the confirmation ran 1 time
    And no confirmation that ran is reported as not run

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
    Then no confirmation that ran is reported as not run
    And the confirmation ran at most once

    Examples:
      | deployment  | workspace | path             | instance |
      | cooperative | buyers    | /ledger/purchase | ub-1-a   |
      | stratka     | families  | /desk/courier    | ke-1-a   |
