package org.ibissaddle.daemon.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.peer.Heartbeat;

/**
 * Text of heartbeats in messages between instances, about 15 bytes each. Heartbeats are separated by commas and their
 * fields by spaces: the number of characters that the instance's name shares with the previous name, followed by the
 * rest of the name; incarnation tag; version; sequence number; age in milliseconds. Numbers are in base 36.
 */
final class HeartbeatText {
    private static final int RADIX = 36;
    private static final int FIELDS = 5;
    /** Estimated size of a heartbeat, characters. */
    private static final int TYPICAL_LENGTH = 20;

    private HeartbeatText() {}

    /** Thrown when the text of heartbeats is malformed. */
    static final class MalformedHeartbeatException extends IOException {
        private static final long serialVersionUID = 1;

        MalformedHeartbeatException(String heartbeat, Exception cause) {
            super("malformed heartbeat \"" + heartbeat + "\"", cause);
        }
    }

    /** Returns the text of heartbeats, which is shortest if they are ordered by name. */
    static String encode(List<Heartbeat> heartbeats) {
        StringBuilder text = new StringBuilder(heartbeats.size() * TYPICAL_LENGTH);
        String previous = "";
        for (Heartbeat heartbeat : heartbeats) {
            String name = heartbeat.id().name();
            int shared = sharedPrefix(previous, name);
            if (!text.isEmpty()) {
                text.append(',');
            }
            text.append(Character.forDigit(shared, RADIX))
                    .append(name, shared, name.length())
                    .append(' ')
                    .append(Integer.toString(heartbeat.incarnationTag(), RADIX))
                    .append(' ')
                    .append(Integer.toString(heartbeat.version(), RADIX))
                    .append(' ')
                    .append(Long.toString(heartbeat.sequence(), RADIX))
                    .append(' ')
                    .append(Long.toString(heartbeat.ageMs(), RADIX));
            previous = name;
        }
        return text.toString();
    }

    /**
     * Reads heartbeats.
     *
     * @throws MalformedHeartbeatException if a heartbeat is malformed
     */
    static List<Heartbeat> decode(String text) throws MalformedHeartbeatException {
        List<Heartbeat> heartbeats = new ArrayList<>(text.length() / TYPICAL_LENGTH + 1);
        String previous = "";
        int start = 0;
        while (start < text.length()) {
            int comma = text.indexOf(',', start);
            int end = comma < 0 ? text.length() : comma;
            Heartbeat heartbeat = decodeOne(text.substring(start, end), previous);
            heartbeats.add(heartbeat);
            previous = heartbeat.id().name();
            start = end + 1;
        }
        return heartbeats;
    }

    private static Heartbeat decodeOne(String text, String previous) throws MalformedHeartbeatException {
        try {
            String[] fields = text.split(" ", FIELDS);
            int shared = Character.digit(fields[0].charAt(0), RADIX);
            return new Heartbeat(
                    new InstanceId(previous.substring(0, shared) + fields[0].substring(1)),
                    Integer.parseInt(fields[1], RADIX),
                    Integer.parseInt(fields[2], RADIX),
                    Long.parseLong(fields[3], RADIX),
                    Long.parseLong(fields[4], RADIX));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new MalformedHeartbeatException(text, e);
        }
    }

    private static int sharedPrefix(String one, String other) {
        int limit = Math.min(RADIX - 1, Math.min(one.length(), other.length()));
        int shared = 0;
        while (shared < limit && one.charAt(shared) == other.charAt(shared)) {
            shared++;
        }
        return shared;
    }
}
