package org.ibissaddle.peer;

import org.ibissaddle.id.InstanceId;

/**
 * Evidence that an instance was running, for recipients that know the rest of its state. It refreshes a known state of
 * the same incarnation and version, and tells from which states the recipient differs otherwise.
 *
 * @param id the instance
 * @param incarnationTag {@link #tagOf tag} of its incarnation
 * @param version version of its state
 * @param sequence sequence number of its latest message that the sender of the heartbeat knows of
 * @param ageMs time since the instance sent that message, milliseconds
 */
public record Heartbeat(InstanceId id, int incarnationTag, int version, long sequence, long ageMs) {
    /** Number of tags; three digits of base 36, so that a restart keeps its tag once in 46,656 times. */
    private static final int TAGS = 36 * 36 * 36;

    /**
     * Returns the tag of an incarnation.
     *
     * @param incarnation the incarnation, epoch milliseconds
     * @return the tag, 0 to 46,655
     */
    public static int tagOf(long incarnation) {
        return Math.floorMod(incarnation, TAGS);
    }

    boolean isOfSameState(PeerState state) {
        return incarnationTag == tagOf(state.incarnation()) && version == state.version();
    }
}
