package org.ibissaddle.internal.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Servers of the local region that are able to serve some work, with their hash ring; built once per fleet view. */
final class Candidates {
    private static final int RING_POINTS_PER_SERVER = 64;

    final Candidate[] live;
    final Candidate[] suspect;
    private final Map<Integer, Candidate> liveByNumber = new HashMap<>();
    private final long[] ringPoints;
    private final Candidate[] ringServers;

    Candidates(List<Candidate> all) {
        live = all.stream().filter(c -> !c.suspect).toArray(Candidate[]::new);
        suspect = all.stream().filter(c -> c.suspect).toArray(Candidate[]::new);
        for (Candidate c : live) {
            liveByNumber.put(c.state.number, c);
        }
        ringPoints = new long[live.length * RING_POINTS_PER_SERVER];
        ringServers = new Candidate[ringPoints.length];
        fillRing();
    }

    boolean isEmpty() {
        return live.length == 0 && suspect.length == 0;
    }

    /** Returns the live server with the given number in the prefix index, or null. */
    Candidate withNumber(int number) {
        return liveByNumber.get(number);
    }

    /**
     * Returns the owner of a hash on the consistent-hash ring, or null when no server is live. Instances with the same
     * view compute the same owner.
     */
    Candidate owner(long hash) {
        if (ringPoints.length == 0) {
            return null;
        }
        int i = Arrays.binarySearch(ringPoints, hash);
        int index = i >= 0 ? i : -i - 1;
        return ringServers[index == ringPoints.length ? 0 : index];
    }

    private void fillRing() {
        Map<Long, Candidate> serverByPoint = new HashMap<>();
        int n = 0;
        for (Candidate c : live) {
            for (int p = 0; p < RING_POINTS_PER_SERVER; p++) {
                long point = PrefixIndex.mix(c.state.id.hashCode() * 31L + p * 0x9e3779b97f4a7c15L);
                serverByPoint.put(point, c);
                ringPoints[n] = point;
                n++;
            }
        }
        Arrays.sort(ringPoints);
        for (int i = 0; i < ringPoints.length; i++) {
            ringServers[i] = serverByPoint.get(ringPoints[i]);
        }
    }
}
