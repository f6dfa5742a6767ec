package org.ibissaddle.daemon.path;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.daemon.caller.CallerGoneException;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.CallerService;
import org.ibissaddle.daemon.caller.RefusalCounts;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.stream.StreamResumes;
import org.ibissaddle.daemon.timeline.Recorder;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.Event;

/**
 * Checks the workspace and route of a request before its body is read, and routes accepted requests to their handlers.
 */
public final class RequestPath implements CallerService {
    private static final String MODELS_PATH = "/v1/models";

    private final SharedState state;
    private final HeadBinding binding;
    private final ModelCalls modelCalls;
    private final ServiceCalls serviceCalls;
    private final StreamResumes resumes;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final RefusalCounts refusals;
    private final Clock clock;
    private final EventLog log;

    /**
     * Creates the service.
     *
     * @param state current release note and view of the fleet
     * @param binding resolves the workspace of a request
     * @param modelCalls handles model calls
     * @param serviceCalls handles calls to plain services
     * @param resumes handles requests that resume a stream
     * @param refusals counts refused requests
     * @param clock current time
     * @param log log of the instance
     */
    public RequestPath(
            SharedState state,
            HeadBinding binding,
            ModelCalls modelCalls,
            ServiceCalls serviceCalls,
            StreamResumes resumes,
            RefusalCounts refusals,
            Clock clock,
            EventLog log) {
        this.state = state;
        this.binding = binding;
        this.modelCalls = modelCalls;
        this.serviceCalls = serviceCalls;
        this.resumes = resumes;
        this.refusals = refusals;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public Optional<Refusal> check(RequestHead head) {
        state.recorder().receive(head.header(Recorder.HEADER));
        try {
            if (!isModelList(head)) {
                binding.require(head);
                requireRoute(head);
            }
            return Optional.empty();
        } catch (RefusedException e) {
            Refusal refusal = withUnknownFateIfTicketed(head, e.refusal());
            logRefusal(refusal);
            state.recorder().record(new Event.Refused(refusal.type(), refusal.fate()));
            return Optional.of(refusal);
        }
    }

    @Override
    public void refused(Refusal refusal) {
        logRefusal(refusal);
    }

    @Override
    public void serve(CallerRequest request, CallerReply reply) {
        openRequests.incrementAndGet();
        try {
            route(request, reply);
        } catch (RefusedException e) {
            refuse(reply, withUnknownFateIfTicketed(request.head(), e.refusal()));
        } catch (CallerGoneException e) {
            log.fine("caller-gone", "path", request.head().path());
        } catch (IOException | RuntimeException e) {
            log.warning("request-failed", "path", request.head().path(), "cause", e);
            refuse(
                    reply,
                    Refusal.of(
                            RefusalType.INTERNAL, "the gateway failed to serve the request", ExecutionStatus.UNKNOWN));
        } finally {
            openRequests.decrementAndGet();
        }
    }

    @Override
    public boolean leaving() {
        return state.draining();
    }

    /**
     * Returns the number of requests that are being served.
     *
     * @return number of open requests
     */
    public int open() {
        return openRequests.get();
    }

    private void route(CallerRequest request, CallerReply reply) throws RefusedException, IOException {
        if (isModelList(request.head())) {
            modelCalls.list(reply);
        } else if (StreamResumes.covers(request.head())) {
            resumes.serve(request, binding.require(request.head()), reply);
        } else if (ModelCalls.covers(request.head())) {
            modelCalls.serve(request, binding.require(request.head()), reply);
        } else {
            serviceCalls.serve(request, binding.require(request.head()), reply);
        }
    }

    private void requireRoute(RequestHead head) throws RefusedException {
        if (ModelCalls.covers(head) || StreamResumes.covers(head)) {
            return;
        }
        if (state.note().orElseThrow().route(head.method(), head.path()).isEmpty()) {
            String message = "call \"" + head.method() + " " + head.path() + "\" matches no route of the release note";
            throw new RefusedException(Refusal.of(RefusalType.UNKNOWN_ROUTE, message, ExecutionStatus.NOT_RUN));
        }
    }

    private static boolean isModelList(RequestHead head) {
        return head.method().equals("GET") && head.path().equals(MODELS_PATH);
    }

    /**
     * Reports the outcome of a call with a ticket as unknown: an earlier attempt may have been executed, and only the
     * instance that owns the ticket can rule that out.
     */
    private static Refusal withUnknownFateIfTicketed(RequestHead head, Refusal refusal) {
        return head.header(Headers.TICKET).isPresent() ? refusal.withFate(ExecutionStatus.UNKNOWN) : refusal;
    }

    private void refuse(CallerReply reply, Refusal refusal) {
        logRefusal(refusal);
        if (reply.started()) {
            reply.abort();
            return;
        }
        try {
            Map<String, String> headers = RefusalJson.headers(refusal, clock.nowMs());
            reply.whole(refusal.type().status(), headers, RefusalJson.encode(refusal));
        } catch (IOException e) {
            log.fine("caller-gone", "refusal", refusal.type().wireName());
        }
    }

    private void logRefusal(Refusal refusal) {
        refusals.count(refusal);
        log.info(
                "refused",
                "type",
                refusal.type().wireName(),
                "ran",
                refusal.fate().wireName());
    }
}
