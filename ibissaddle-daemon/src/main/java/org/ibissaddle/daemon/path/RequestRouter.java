package org.ibissaddle.daemon.path;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientDisconnectedException;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.caller.RefusalCounts;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.caller.RequestHandler;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.stream.StreamResumeHandler;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.Event;

/**
 * Checks the workspace and route of a request before its body is read, and routes accepted requests to their handlers.
 */
public final class RequestRouter implements RequestHandler {
    private static final String MODELS_PATH = "/v1/models";

    private final SharedState state;
    private final WorkspaceResolver workspaceResolver;
    private final ModelCallRouter modelCallRouter;
    private final ServiceCallHandler serviceCallHandler;
    private final StreamResumeHandler resumeHandler;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final RefusalCounts refusals;
    private final Clock clock;
    private final EventLog log;

    /**
     * Creates the router.
     *
     * @param state current release note and view of the fleet
     * @param workspaceResolver resolves the workspace of a request
     * @param modelCallRouter handles model calls
     * @param serviceCallHandler handles calls to plain services
     * @param resumeHandler handles requests that resume a stream
     * @param refusals counts refused requests
     * @param clock current time
     * @param log log of the instance
     */
    public RequestRouter(
            SharedState state,
            WorkspaceResolver workspaceResolver,
            ModelCallRouter modelCallRouter,
            ServiceCallHandler serviceCallHandler,
            StreamResumeHandler resumeHandler,
            RefusalCounts refusals,
            Clock clock,
            EventLog log) {
        this.state = state;
        this.workspaceResolver = workspaceResolver;
        this.modelCallRouter = modelCallRouter;
        this.serviceCallHandler = serviceCallHandler;
        this.resumeHandler = resumeHandler;
        this.refusals = refusals;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public Optional<Refusal> check(RequestHead head) {
        state.recorder().mergeTimestamp(head.header(TimelineRecorder.HEADER));
        try {
            if (!isModelList(head)) {
                workspaceResolver.resolve(head);
                requireRoute(head);
            }
            return Optional.empty();
        } catch (RefusedException e) {
            Refusal refusal = withUnknownStatusIfTicketed(head, e.refusal());
            logRefusal(refusal);
            state.recorder().record(new Event.Refused(refusal.type(), refusal.executionStatus()));
            return Optional.of(refusal);
        }
    }

    @Override
    public void onRefused(Refusal refusal) {
        logRefusal(refusal);
    }

    @Override
    public void handle(CallerRequest request, ClientResponseWriter response) {
        openRequests.incrementAndGet();
        try {
            route(request, response);
        } catch (RefusedException e) {
            refuse(response, withUnknownStatusIfTicketed(request.head(), e.refusal()));
        } catch (ClientDisconnectedException e) {
            log.debug("caller-gone", "path", request.head().path());
        } catch (IOException | RuntimeException e) {
            log.warning("request-failed", "path", request.head().path(), "cause", e);
            refuse(
                    response,
                    Refusal.of(
                            RefusalType.INTERNAL, "the gateway failed to serve the request", ExecutionStatus.UNKNOWN));
        } finally {
            openRequests.decrementAndGet();
        }
    }

    @Override
    public boolean draining() {
        return state.draining();
    }

    /**
     * Returns the number of requests that are being served.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return openRequests.get();
    }

    private void route(CallerRequest request, ClientResponseWriter response) throws RefusedException, IOException {
        if (isModelList(request.head())) {
            modelCallRouter.listModels(response);
        } else if (StreamResumeHandler.matches(request.head())) {
            resumeHandler.handle(request, workspaceResolver.resolve(request.head()), response);
        } else if (ModelCallRouter.matches(request.head())) {
            modelCallRouter.handle(request, workspaceResolver.resolve(request.head()), response);
        } else {
            serviceCallHandler.handle(request, workspaceResolver.resolve(request.head()), response);
        }
    }

    private void requireRoute(RequestHead head) throws RefusedException {
        if (ModelCallRouter.matches(head) || StreamResumeHandler.matches(head)) {
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
    private static Refusal withUnknownStatusIfTicketed(RequestHead head, Refusal refusal) {
        return head.header(GatewayHeaders.TICKET).isPresent()
                ? refusal.withExecutionStatus(ExecutionStatus.UNKNOWN)
                : refusal;
    }

    private void refuse(ClientResponseWriter response, Refusal refusal) {
        logRefusal(refusal);
        if (response.started()) {
            response.abort();
            return;
        }
        try {
            Map<String, String> headers = RefusalJson.headers(refusal, clock.nowMs());
            response.sendComplete(refusal.type().status(), headers, RefusalJson.encode(refusal));
        } catch (IOException e) {
            log.debug("caller-gone", "refusal", refusal.type().wireName());
        }
    }

    private void logRefusal(Refusal refusal) {
        refusals.count(refusal);
        log.info(
                "refused",
                "type",
                refusal.type().wireName(),
                "ran",
                refusal.executionStatus().wireName());
    }
}
