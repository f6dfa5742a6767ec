package org.ibissaddle.membership;

import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;

/**
 * A server to ask for its load.
 *
 * @param server its name
 * @param address where it is reached
 */
public record ServerPoll(ServerId server, Address address) {}
