package org.ibissaddle.internal.membership;

import java.util.Collection;
import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.route.Mixing;

/**
 * Rendezvous hashing: instances with the same candidates choose the same one, and a lost candidate moves only its own
 * keys.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Chooses a candidate for a key.
     *
     * @param key the key
     * @param candidates names to choose from
     * @return the chosen one, empty when there is none
     */
    public static Optional<InstanceId> choose(String key, Collection<InstanceId> candidates) {
        InstanceId best = null;
        long bestScore = 0;
        for (InstanceId candidate : candidates) {
            long score = score(key, candidate.name());
            if (best == null || score > bestScore || (score == bestScore && candidate.compareTo(best) < 0)) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Counts the candidates that come before one for a key.
     *
     * @param key the key
     * @param self the candidate in question
     * @param candidates names to choose from
     * @return 0 when it is the first choice
     */
    public static int rank(String key, InstanceId self, Collection<InstanceId> candidates) {
        long own = score(key, self.name());
        int rank = 0;
        for (InstanceId candidate : candidates) {
            if (!candidate.equals(self) && score(key, candidate.name()) > own) {
                rank++;
            }
        }
        return rank;
    }

    private static long score(String key, String candidate) {
        long hash = 0xcbf29ce484222325L;
        hash = mix(hash, key);
        hash = mix(hash * 31 + 17, candidate);
        return Mixing.mix(hash);
    }

    private static long mix(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
