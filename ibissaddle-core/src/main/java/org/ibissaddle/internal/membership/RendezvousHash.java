package org.ibissaddle.internal.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.route.HashMixer;

/**
 * Rendezvous hashing. All instances with the same candidates choose the same one, and removing a candidate reassigns
 * only its own keys.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Chooses a candidate for a key.
     *
     * @param key the key
     * @param candidates names to choose from
     * @return the chosen candidate, empty if there are no candidates
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
     * Returns the rank of a candidate for a key.
     *
     * @param key the key
     * @param self the candidate to rank
     * @param candidates names to choose from
     * @return the number of candidates with a higher score; 0 for the first choice
     */
    public static int rank(String key, InstanceId self, Collection<InstanceId> candidates) {
        long selfScore = score(key, self.name());
        int rank = 0;
        for (InstanceId candidate : candidates) {
            if (!candidate.equals(self) && score(key, candidate.name()) > selfScore) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Returns the first candidates for a key.
     *
     * @param key the key
     * @param candidates names to choose from
     * @param limit maximum number of candidates
     * @return the candidates with the highest scores
     */
    public static Set<InstanceId> first(String key, Collection<InstanceId> candidates, int limit) {
        return candidates.stream()
                .sorted(Comparator.comparingLong((InstanceId candidate) -> score(key, candidate.name()))
                        .reversed())
                .limit(limit)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long score(String key, String candidate) {
        long hash = 0xcbf29ce484222325L;
        hash = appendHash(hash, key);
        hash = appendHash(hash * 31 + 17, candidate);
        return HashMixer.mix(hash);
    }

    /** Continues an FNV-1a hash with the UTF-16 code units of a text. */
    private static long appendHash(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
