package org.ibissaddle.standins.internal.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * A change of the prefix cache.
 *
 * @param seq the number of the event, from 1
 * @param kind what happened
 * @param block the block's id
 */
public record CacheEvent(long seq, Kind kind, String block) {
    /** What can happen to a block. */
    public enum Kind {
        /** The block was stored. */
        STORED,
        /** The block was evicted. */
        EVICTED;

        /** The word used in JSON. */
        @JsonValue
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
