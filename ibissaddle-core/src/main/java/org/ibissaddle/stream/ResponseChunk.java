package org.ibissaddle.stream;

/**
 * Chunk of a streamed response.
 *
 * @param id position of the chunk
 * @param text text of the chunk, may be empty
 * @param last whether the chunk carries the finish reason of the response
 */
public record ResponseChunk(ChunkPosition id, String text, boolean last) {}
