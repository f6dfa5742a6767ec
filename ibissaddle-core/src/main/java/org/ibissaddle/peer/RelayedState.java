package org.ibissaddle.peer;

/**
 * State of an instance, received from the instance itself or relayed by another one.
 *
 * @param state the state
 * @param ageMs time since the instance sent the state, milliseconds
 */
public record RelayedState(PeerState state, long ageMs) {}
