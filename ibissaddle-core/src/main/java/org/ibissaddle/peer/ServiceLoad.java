package org.ibissaddle.peer;

/**
 * Load of the backend servers of a service in the region of an instance.
 *
 * @param freeSlots number of further requests that the servers could accept immediately
 * @param waitMs predicted time to the first byte of the answer to a new request, milliseconds
 */
public record ServiceLoad(int freeSlots, long waitMs) {}
