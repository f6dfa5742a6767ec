package org.ibissaddle.standins.internal.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * A change of the prefix cache.
 *
 * @param seq the sequence number, starting at 1
 * @param kind the kind of change
 * @param block the block id
 */
public record CacheEvent(long seq, Kind kind, String block) {
    /** The kind of change. */
    public enum Kind {
        /** The block was stored. */
        STORED,
        /** The block was evicted. */
        EVICTED;

        /** Returns the name used in JSON. */
        @JsonValue
        public String jsonName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
