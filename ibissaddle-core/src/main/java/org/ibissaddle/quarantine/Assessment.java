package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The result of evaluating the marks of one request.
 *
 * @param refused whether the request is refused
 * @param crashes number of its crashes that are not attributed to a refused request
 * @param latestMs time of its latest mark, epoch milliseconds
 */
record Assessment(boolean refused, int crashes, long latestMs) {
    /**
     * Assesses all marked requests. A request is refused if it was already marked and was then the only request in
     * flight at a crash, or if it reached the maximum number of crashes. A crash of a refused request no longer counts
     * against requests with fewer crashes.
     */
    static Map<Fingerprint, Assessment> of(Collection<CrashMark> marks, int maxCrashes) {
        Map<Crash, List<CrashMark>> byCrash = new HashMap<>();
        Map<Fingerprint, List<CrashMark>> byRequest = new HashMap<>();
        for (CrashMark mark : marks) {
            byCrash.computeIfAbsent(mark.crash(), crash -> new ArrayList<>()).add(mark);
            byRequest
                    .computeIfAbsent(mark.request(), request -> new ArrayList<>())
                    .add(mark);
        }
        Map<Crash, Integer> maxMarksOfRefused = new HashMap<>();
        Set<Fingerprint> soleSuspects = new HashSet<>();
        for (List<CrashMark> crashMarks : byCrash.values()) {
            if (crashMarks.size() == 1 && crashMarks.get(0).suspect()) {
                soleSuspects.add(crashMarks.get(0).request());
            }
        }
        byRequest.forEach((request, requestMarks) -> {
            if (soleSuspects.contains(request) || requestMarks.size() >= maxCrashes) {
                requestMarks.forEach(mark -> maxMarksOfRefused.merge(mark.crash(), requestMarks.size(), Math::max));
            }
        });
        Map<Fingerprint, List<CrashMark>> remainingMarks = new HashMap<>();
        byRequest.forEach((request, requestMarks) -> {
            List<CrashMark> unexplained = requestMarks.stream()
                    .filter(mark -> soleSuspects.contains(request)
                            || maxMarksOfRefused.getOrDefault(mark.crash(), 0) <= requestMarks.size())
                    .toList();
            if (!unexplained.isEmpty()) {
                remainingMarks.put(request, unexplained);
            }
        });
        Set<Fingerprint> refused = new HashSet<>(soleSuspects);
        remainingMarks.forEach((request, requestMarks) -> {
            if (requestMarks.size() >= maxCrashes) {
                refused.add(request);
            }
        });
        return assess(remainingMarks, refused);
    }

    private static Map<Fingerprint, Assessment> assess(
            Map<Fingerprint, List<CrashMark>> byRequest, Set<Fingerprint> refused) {
        Map<Fingerprint, Assessment> assessments = new HashMap<>();
        byRequest.forEach((request, requestMarks) -> {
            long latestMs =
                    requestMarks.stream().mapToLong(CrashMark::atMs).max().orElse(0);
            assessments.put(request, new Assessment(refused.contains(request), requestMarks.size(), latestMs));
        });
        return assessments;
    }
}
