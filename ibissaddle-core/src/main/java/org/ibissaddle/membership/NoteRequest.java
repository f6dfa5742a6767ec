package org.ibissaddle.membership;

/**
 * Requests the release note of a peer.
 *
 * @param number number of the requester's release note, 0 for none
 * @param digest digest of the requester's release note
 * @param part zero-based index of the requested part of the full text
 */
public record NoteRequest(long number, String digest, int part) {}
