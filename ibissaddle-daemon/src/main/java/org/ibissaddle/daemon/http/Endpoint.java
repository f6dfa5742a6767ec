package org.ibissaddle.daemon.http;

import org.ibissaddle.id.Address;

/**
 * The key by which idle connections are pooled.
 *
 * @param name name of the remote process; a new server that reuses the address of an old one gets its own connections
 * @param address address on which it listens
 */
public record Endpoint(String name, Address address) {}
