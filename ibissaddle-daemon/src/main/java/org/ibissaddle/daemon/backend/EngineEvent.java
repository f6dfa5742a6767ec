package org.ibissaddle.daemon.backend;

/**
 * An event of a streamed answer.
 *
 * @param id identifier as the backend server sent it, empty when there is none
 * @param data its data, one JSON chunk or the end mark
 */
public record EngineEvent(String id, String data) {}
