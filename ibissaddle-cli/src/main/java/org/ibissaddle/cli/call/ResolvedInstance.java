package org.ibissaddle.cli.call;

import java.util.Optional;
import org.ibissaddle.id.Address;

/**
 * First instance that the gateway returned for a call.
 *
 * @param address caller address of the instance
 * @param name name of the instance
 * @param validUntilMs time until which the result may be reused, epoch milliseconds
 * @param ticket ticket of a call that must not run more than once
 */
public record ResolvedInstance(Address address, String name, long validUntilMs, Optional<String> ticket) {}
