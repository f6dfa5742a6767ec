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
import org.ibissaddle.daemon.backend.StreamClient.ResumeResult;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.path.GatewayHeaders;
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
public final class StreamResumeHandler {
    private static final String PATH = "/v1/streams";
    private static final String LAST_EVENT_ID = "Last-Event-ID";

    private final ModelCallDependencies dependencies;

    /**
     * Creates the handler.
     *
     * @param dependencies dependencies of model calls
     */
    public StreamResumeHandler(ModelCallDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Returns whether a request resumes a stream.
     *
     * @param head start line and header fields
     * @return whether this class handles the request
     */
    public static boolean matches(RequestHead head) {
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
    public void handle(CallerRequest request, Workspace workspace, ClientResponseWriter reply)
            throws RefusedException, IOException {
        String encodedToken = request.head().header(LAST_EVENT_ID).orElse("");
        StreamToken token = readToken(encodedToken, workspace);
        boolean forwarded = request.head().header(GatewayHeaders.HOP).isPresent();
        Target target = findTarget(token, forwarded)
                .orElseThrow(() -> unknownStream("server " + token.server() + " is unknown to this instance"));
        if (!target.peer()) {
            dependencies.claims().claim(encodedToken, token);
        }
        new ResumedStream(token, encodedToken, workspace, target, reply).run();
    }

    private StreamToken readToken(String encodedToken, Workspace workspace) throws RefusedException {
        try {
            StreamToken token = dependencies.tokens().read(encodedToken);
            if (!token.workspace().equals(workspace.id())) {
                throw unknownStream("the stream belongs to another workspace");
            }
            return token;
        } catch (TicketException e) {
            throw unknownStream(e.getMessage());
        }
    }

    private Optional<Target> findTarget(StreamToken token, boolean forwarded) {
        for (ServerView server : dependencies.state().fleet().servers()) {
            if (server.id().equals(token.server())) {
                return Optional.of(Target.of(server, new Placement.Serve(server)));
            }
        }
        Optional<InstanceView> peer = dependencies.state().fleet().peer(token.instance());
        return forwarded ? Optional.empty() : peer.map(found -> Target.of(found, new Placement.Forward(found)));
    }

    private static RefusedException unknownStream(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_STREAM, message, ExecutionStatus.UNKNOWN));
    }

    /** Relays the rest of one response. */
    private final class ResumedStream {
        private final StreamToken token;
        private final String encodedToken;
        private final PlacementRequest placementRequest;
        private final Target target;
        private final ClientResponseWriter reply;
        private final ResponseSequencer sequencer;
        private final AtomicReference<Call> call = new AtomicReference<>();
        private Optional<String> lastEventId = Optional.empty();

        ResumedStream(
                StreamToken token,
                String encodedToken,
                Workspace workspace,
                Target target,
                ClientResponseWriter reply) {
            this.token = token;
            this.encodedToken = encodedToken;
            this.target = target;
            this.reply = reply;
            this.placementRequest = new PlacementRequest(
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
            this.sequencer = ResponseSequencer.resumed(token.request(), token.attempt(), token.offset());
        }

        void run() throws RefusedException, IOException {
            reply.onDisconnect(this::onDisconnect);
            StreamRecovery recovery = new StreamRecovery(
                    sequencer, token.deadlineMs(), dependencies.budgets().of(placementRequest.pool()));
            RecoveryAction next =
                    recovery.onConnectionLost(target.id(), dependencies.clock().nowMs());
            while (next instanceof RecoveryAction.Resume resume) {
                ResumeResult resumeResult = dependencies.engines().resume(resumeRequest(resume.offset()), call::set);
                if (resumeResult instanceof ResumeResult.Streaming streaming && relay(streaming.response())) {
                    reply.end();
                    return;
                }
                long nowMs = dependencies.clock().nowMs();
                next = resumeResult instanceof ResumeResult.UnknownStream
                        ? recovery.onServerLost(target.id(), nowMs)
                        : recovery.onConnectionLost(target.id(), nowMs);
            }
            endWithError();
        }

        private boolean relay(Response response) throws IOException {
            if (!reply.started()) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("content-type", "text/event-stream");
                headers.put(GatewayHeaders.REQUEST_ID, token.request().name());
                headers.put(
                        GatewayHeaders.INSTANCE,
                        dependencies.settings().instance().name());
                headers.put(GatewayHeaders.SERVER, token.server().name());
                reply.start(200, headers);
            }
            EventRelay.EventIdCodec idCodec = target.peer()
                    ? EventIdCodecs.forPeer(sequencer, placementRequest, dependencies.tokens())
                    : EventIdCodecs.forEngine(
                            dependencies.settings().instance(),
                            target,
                            placementRequest,
                            sequencer,
                            dependencies.tokens());
            EventRelay relay = new EventRelay(sequencer, idCodec, reply, () -> {});
            EventRelay.ConnectionEnd end = relay.relay(response);
            lastEventId = relay.lastEventId().or(() -> lastEventId);
            return end == EventRelay.ConnectionEnd.COMPLETE;
        }

        private Request resumeRequest(long offset) {
            UpstreamRequests requests = new UpstreamRequests(
                    dependencies.settings(), dependencies.state().recorder(), placementRequest, PATH, new byte[0]);
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
            reply.sendChunk(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            reply.end();
        }

        private void onDisconnect() {
            Optional.ofNullable(call.get()).ifPresent(Call::cancel);
            if (!target.peer()) {
                dependencies.claims().cancelUnlessClaimed(target, token.request());
            }
        }
    }
}
