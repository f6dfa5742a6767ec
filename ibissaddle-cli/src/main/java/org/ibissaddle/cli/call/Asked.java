package org.ibissaddle.cli.call;

import java.util.Optional;
import org.ibissaddle.id.Address;

/**
 * Answer of the ask step.
 *
 * @param instance caller address of the first instance to use
 * @param name its name
 * @param validUntilMs until when the answer may be used, epoch milliseconds
 * @param ticket ticket of a call that may run once only
 */
public record Asked(Address instance, String name, long validUntilMs, Optional<String> ticket) {}
