package org.ibissaddle.note;

/** Where an instance got a note from. */
public enum NoteSource {
    /** The platform's configuration service. */
    PLATFORM,
    /** Another instance. */
    PEER
}
