package org.ibissaddle.stream;

/**
 * A piece of a streamed answer.
 *
 * @param id where it belongs
 * @param text its text, possibly empty
 * @param last whether it carries the reason for which the answer ended
 */
public record Piece(PieceId id, String text, boolean last) {}
