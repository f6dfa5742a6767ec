package org.ibissaddle.membership;

/**
 * Asks a peer for its note.
 *
 * @param number number of the asker's note, 0 for none
 * @param digest digest of the asker's note
 * @param part which part of the whole text is asked for, from 0
 */
public record NoteRequest(long number, String digest, int part) {}
