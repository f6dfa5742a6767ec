package org.ibissaddle.internal.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Servers of the own region that can do a kind of work, prepared once for each fleet view. */
final class Candidates {
    private static final int POINTS = 64;

    final Candidate[] live;
    final Candidate[] suspect;
    private final Map<Integer, Candidate> byNumber = new HashMap<>();
    private final long[] ring;
    private final Candidate[] owners;

    Candidates(List<Candidate> all) {
        live = all.stream().filter(c -> !c.suspect).toArray(Candidate[]::new);
        suspect = all.stream().filter(c -> c.suspect).toArray(Candidate[]::new);
        for (Candidate c : live) {
            byNumber.put(c.state.number, c);
        }
        ring = new long[live.length * POINTS];
        owners = new Candidate[ring.length];
        fillRing();
    }

    boolean isEmpty() {
        return live.length == 0 && suspect.length == 0;
    }

    /** The live server with a number of the prefix index; null when there is none. */
    Candidate numbered(int number) {
        return byNumber.get(number);
    }

    /** The server that all instances with the same view choose for a hash; null when none is live. */
    Candidate owner(long hash) {
        if (ring.length == 0) {
            return null;
        }
        int i = Arrays.binarySearch(ring, hash);
        int at = i >= 0 ? i : -i - 1;
        return owners[at == ring.length ? 0 : at];
    }

    private void fillRing() {
        Map<Long, Candidate> points = new HashMap<>();
        int n = 0;
        for (Candidate c : live) {
            for (int p = 0; p < POINTS; p++) {
                long point = PrefixIndex.mix(c.state.id.hashCode() * 31L + p * 0x9e3779b97f4a7c15L);
                points.put(point, c);
                ring[n] = point;
                n++;
            }
        }
        Arrays.sort(ring);
        for (int i = 0; i < ring.length; i++) {
            owners[i] = points.get(ring[i]);
        }
    }
}
