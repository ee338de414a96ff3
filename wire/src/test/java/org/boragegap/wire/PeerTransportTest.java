package org.boragegap.wire;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the connections between entry VMs, over real sockets. */
final class PeerTransportTest {
    private static final String HOST = "127.0.0.1";

    /**
     * Lets the system choose a free port when the transport starts to listen, so that no other
     * process can take the port first.
     */
    private static final int ANY_PORT = 0;

    private static final long TIMEOUT_S = 10;

    private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> mLost = new LinkedBlockingQueue<>();
    private PeerTransport mServer;
    private PeerTransport mClient;
    private String mAddress;

    private final class Listener implements PeerListener {
        @Override
        public void onMessage(long connectionId, PeerMessage message) {
            mReceived.add(message);
            if (message instanceof PeerMessage.Forward forward) {
                Answer answer = new Answer.Complete(List.of("r"));
                mServer.reply(
                        connectionId, new PeerMessage.ForwardAnswer(forward.forwardId(), answer));
            }
        }

        @Override
        public void onLost(String address, PeerMessage message, boolean sent) {
            mLost.add(sent);
        }
    }

    @BeforeEach
    void start() throws IOException {
        mServer = PeerTransport.create(HOST, ANY_PORT, new Listener());
        mServer.start();
        mAddress = HOST + ":" + mServer.port();
        mClient = PeerTransport.create(HOST, ANY_PORT, new Listener());
        mClient.start();
    }

    @AfterEach
    void stop() {
        mClient.stop();
        mServer.stop();
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private static PeerMessage.Forward forward(long id) {
        SubmissionId sid = new SubmissionId("id", 1, Optional.of("fd"), Optional.empty());
        Submission submission =
                new Submission(sid, "t", "k", Optional.empty(), false, 9, List.of(), 3);
        return new PeerMessage.Forward(id, submission, 1);
    }

    private PeerMessage receive() throws InterruptedException {
        PeerMessage message = mReceived.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertWithMessage("a message").that(message).isNotNull();
        return message;
    }

    @Nested
    final class Messages {
        @Test
        void forwardIsAnsweredOverTheSameConnection() throws Exception {
            mClient.send(mAddress, forward(5));
            assertThat(receive()).isEqualTo(forward(5));
            assertThat(receive())
                    .isEqualTo(new PeerMessage.ForwardAnswer(5, new Answer.Complete(List.of("r"))));
        }

        @Test
        void undeliverableMessageIsReportedAsUnsent() throws Exception {
            mClient.send(HOST + ":" + closedPort(), forward(6));
            assertThat(mLost.poll(TIMEOUT_S, TimeUnit.SECONDS)).isFalse();
        }
    }

    @Nested
    final class MalformedFrames {
        /**
         * A client that isn't a peer sends random bytes, with an invalid frame length and with a
         * valid one. Its connection must be closed; the others are not affected.
         */
        @Test
        void malformedFrameClosesOnlyItsOwnConnection() throws Exception {
            mClient.send(mAddress, forward(1));
            receive();
            receive();
            Random random = new Random(4);
            for (int length : new int[] {-1, 0, Integer.MAX_VALUE, 64}) {
                sendMalformedFrame(length, random);
            }
            mClient.send(mAddress, forward(2));
            assertThat(receive()).isEqualTo(forward(2));
        }

        private void sendMalformedFrame(int length, Random random) throws IOException {
            byte[] bytes = new byte[64];
            random.nextBytes(bytes);
            try (Socket socket = new Socket(HOST, PeerTransport.parseAddress(mAddress).getPort())) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                out.writeInt(length);
                out.write(bytes);
                out.flush();
                int read = readByteOrEof(socket);
                assertWithMessage("length %s", length).that(read).isEqualTo(-1);
            }
        }

        private int readByteOrEof(Socket socket) {
            try {
                return socket.getInputStream().read();
            } catch (IOException e) {
                return -1;
            }
        }
    }

    @Nested
    final class IdleConnections {
        /**
         * In a large deployment, answers were late although its VMs had little work: each VM pinged
         * every other one four times a second, and answered as many pings. A connection needs no
         * ping if something was received on it after the last message was sent.
         */
        @Test
        void connectionWithNothingUnansweredIsNotPinged() throws Exception {
            try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getByName(HOST))) {
                PeerTransport client = PeerTransport.create(HOST, ANY_PORT, new Listener());
                client.start();
                client.send(HOST + ":" + peer.getLocalPort(), forward(6));
                Socket socket = peer.accept();
                DataInputStream in = new DataInputStream(socket.getInputStream());
                in.skipNBytes(in.readInt());
                client.probe(1_000);
                byte[] ping = in.readNBytes(in.readInt());
                assertThat(PeerCodec.create().decode(ping)).isEqualTo(new PeerMessage.Ping());
                reply(socket, new PeerMessage.Pong());
                reply(socket, new PeerMessage.ForwardAnswer(6, new Answer.Complete(List.of())));
                receive();
                client.probe(2_000);
                client.probe(9_000);
                client.send(HOST + ":" + peer.getLocalPort(), forward(7));
                byte[] next = in.readNBytes(in.readInt());
                assertThat(PeerCodec.create().decode(next)).isEqualTo(forward(7));
                client.stop();
            }
        }

        private void reply(Socket socket, PeerMessage message) throws Exception {
            byte[] bytes = PeerCodec.create().encode(message);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(bytes.length);
            out.write(bytes);
            out.flush();
        }
    }

    @Nested
    final class UnresponsiveConnections {
        /**
         * A device between two VMs has dropped the state of their connection, which stays open but
         * delivers nothing. The pending forward must be reported as lost, and the next message must
         * use a new connection.
         */
        @Test
        void connectionWithoutPongIsClosed() throws Exception {
            try (ServerSocket unresponsive = new ServerSocket(0, 8, InetAddress.getByName(HOST))) {
                String address = HOST + ":" + unresponsive.getLocalPort();
                mClient.send(address, forward(9));
                Socket first = unresponsive.accept();
                assertThat(first.getInputStream().read()).isAtLeast(0);
                mClient.probe(1_000);
                assertThat(mLost).isEmpty();
                mClient.probe(3_001);
                assertThat(mLost.poll(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
                mClient.send(
                        address,
                        new PeerMessage.Claims(new Member("a:1", 1), new ClaimMessage.Join()));
                Socket second = unresponsive.accept();
                assertThat(second.getInputStream().read()).isAtLeast(0);
                first.close();
                second.close();
            }
        }
    }
}
