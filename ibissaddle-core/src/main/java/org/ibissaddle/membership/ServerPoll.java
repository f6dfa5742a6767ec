package org.ibissaddle.membership;

import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;

/**
 * Backend server whose load is to be requested.
 *
 * @param server its name
 * @param address address for the request
 */
public record ServerPoll(ServerId server, Address address) {}
