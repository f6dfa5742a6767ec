package org.ibissaddle.note;

/** The source of a note that an instance received. */
public enum NoteSource {
    /** The platform's configuration service. */
    PLATFORM,
    /** Another instance of the gateway. */
    PEER
}
