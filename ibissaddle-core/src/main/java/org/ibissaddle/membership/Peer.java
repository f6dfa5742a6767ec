package org.ibissaddle.membership;

import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;

/**
 * Another instance, as the target of a message.
 *
 * @param id its name; empty when only its address is known, from the settings
 * @param control its control address
 */
public record Peer(Optional<InstanceId> id, Address control) {}
