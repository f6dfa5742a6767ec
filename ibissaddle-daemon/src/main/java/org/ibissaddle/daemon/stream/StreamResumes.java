package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.daemon.backend.StreamClient.Resumed;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.stream.RecoveryAction;
import org.ibissaddle.stream.ResponseSequencer;
import org.ibissaddle.stream.StreamRecovery;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.ticket.TicketException;

/** Resumes streamed responses for callers that have lost the connection to another instance. */
public final class StreamResumes {
    private static final String PATH = "/v1/streams";
    private static final String LAST_EVENT_ID = "Last-Event-ID";

    private final ModelContext context;

    /**
     * Creates the handler.
     *
     * @param context dependencies of model calls
     */
    public StreamResumes(ModelContext context) {
        this.context = context;
    }

    /**
     * Returns whether a request resumes a stream.
     *
     * @param head start line and header fields
     * @return whether this class handles the request
     */
    public static boolean covers(RequestHead head) {
        return head.method().equals("GET") && head.path().equals(PATH);
    }

    /**
     * Handles a request.
     *
     * @param request the request
     * @param workspace workspace of the request, which this region must be allowed to serve
     * @param reply writes the response to the caller
     * @throws RefusedException if the stream cannot be resumed
     * @throws IOException if the caller has disconnected
     */
    public void serve(CallerRequest request, Workspace workspace, CallerReply reply)
            throws RefusedException, IOException {
        String encodedToken = request.head().header(LAST_EVENT_ID).orElse("");
        StreamToken token = readToken(encodedToken, workspace);
        boolean forwarded = request.head().header(Headers.HOP).isPresent();
        Target target = findTarget(token, forwarded)
                .orElseThrow(() -> unknownStream("server " + token.server() + " is unknown to this instance"));
        if (!target.peer()) {
            context.claims().claim(encodedToken, token);
        }
        new ResumedStream(token, encodedToken, workspace, target, reply).run();
    }

    private StreamToken readToken(String encodedToken, Workspace workspace) throws RefusedException {
        try {
            StreamToken token = context.tokens().read(encodedToken);
            if (!token.workspace().equals(workspace.id())) {
                throw unknownStream("the stream belongs to another workspace");
            }
            return token;
        } catch (TicketException e) {
            throw unknownStream(e.getMessage());
        }
    }

    private Optional<Target> findTarget(StreamToken token, boolean forwarded) {
        for (ServerView server : context.state().fleet().servers()) {
            if (server.id().equals(token.server())) {
                return Optional.of(Target.of(server, new Placement.Serve(server)));
            }
        }
        Optional<InstanceView> peer = context.state().fleet().peer(token.instance());
        return forwarded ? Optional.empty() : peer.map(found -> Target.of(found, new Placement.Forward(found)));
    }

    private static RefusedException unknownStream(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_STREAM, message, ExecutionStatus.UNKNOWN));
    }

    /** Relays the rest of one response. */
    private final class ResumedStream {
        private final StreamToken token;
        private final String encodedToken;
        private final PlacementRequest work;
        private final Target target;
        private final CallerReply reply;
        private final ResponseSequencer guard;
        private final AtomicReference<Call> call = new AtomicReference<>();
        private Optional<String> lastEventId = Optional.empty();

        ResumedStream(StreamToken token, String encodedToken, Workspace workspace, Target target, CallerReply reply) {
            this.token = token;
            this.encodedToken = encodedToken;
            this.target = target;
            this.reply = reply;
            this.work = new PlacementRequest(
                    token.request(),
                    workspace,
                    new org.ibissaddle.id.PoolId("resumed"),
                    Optional.empty(),
                    workspace.priority(),
                    token.deadlineMs(),
                    0,
                    0,
                    java.util.List.of(),
                    java.util.Set.of(),
                    java.util.List.of());
            this.guard = ResponseSequencer.resumed(token.request(), token.attempt(), token.offset());
        }

        void run() throws RefusedException, IOException {
            reply.onGone(this::onDisconnect);
            StreamRecovery recovery = new StreamRecovery(
                    guard, token.deadlineMs(), context.budgets().of(work.pool()));
            RecoveryAction next =
                    recovery.onConnectionLost(target.id(), context.clock().nowMs());
            while (next instanceof RecoveryAction.Resume resume) {
                Resumed resumed = context.engines().resume(resumeRequest(resume.offset()), call::set);
                if (resumed instanceof Resumed.Streaming streaming && relay(streaming.response())) {
                    reply.end();
                    return;
                }
                long nowMs = context.clock().nowMs();
                next = resumed instanceof Resumed.Unknown
                        ? recovery.onServerLost(target.id(), nowMs)
                        : recovery.onConnectionLost(target.id(), nowMs);
            }
            endWithError();
        }

        private boolean relay(Response response) throws IOException {
            if (!reply.started()) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("content-type", "text/event-stream");
                headers.put(Headers.REQUEST_ID, token.request().name());
                headers.put(Headers.INSTANCE, context.settings().instance().name());
                headers.put(Headers.SERVER, token.server().name());
                reply.start(200, headers);
            }
            EventRelay.EventIdCodec idCodec = target.peer()
                    ? EventIdCodecs.forPeer(guard, work, context.tokens())
                    : EventIdCodecs.forEngine(context.settings().instance(), target, work, guard, context.tokens());
            EventRelay relay = new EventRelay(guard, idCodec, reply, () -> {});
            EventRelay.ConnectionEnd end = relay.relay(response);
            lastEventId = relay.lastEventId().or(() -> lastEventId);
            return end == EventRelay.ConnectionEnd.COMPLETE;
        }

        private Request resumeRequest(long offset) {
            UpstreamRequests requests =
                    new UpstreamRequests(context.settings(), context.state().recorder(), work, PATH, new byte[0]);
            return requests.resume(target, offset, lastEventId.or(() -> Optional.of(encodedToken)));
        }

        private void endWithError() throws RefusedException, IOException {
            Refusal refusal = Refusal.of(
                    RefusalType.ANSWER_CUT,
                    "server " + token.server() + " could not resume the stream",
                    ExecutionStatus.RAN);
            if (!reply.started()) {
                throw new RefusedException(refusal);
            }
            String data = new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
            reply.piece(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            reply.end();
        }

        private void onDisconnect() {
            Optional.ofNullable(call.get()).ifPresent(Call::cancel);
            if (!target.peer()) {
                context.claims().cancelUnlessClaimed(target, token.request());
            }
        }
    }
}
