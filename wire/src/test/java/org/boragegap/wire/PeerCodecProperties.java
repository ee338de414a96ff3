package org.boragegap.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.boragegap.core.claim.Claim;
import org.boragegap.core.claim.ClaimKey;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Need;
import org.boragegap.core.placement.LoanMessage;

/** Peer messages survive the way to MessagePack and back; other bytes are one clear error. */
final class PeerCodecProperties {
    private final PeerCodec mCodec = PeerCodec.create();

    private void assertSurvives(PeerMessage message) throws WireException {
        assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(message);
    }

    @Property(tries = 200, seed = "1")
    void claimMessagesSurvive(
            @ForAll long high, @ForAll long low, @ForAll long uid, @ForAll boolean complete)
            throws WireException {
        Member member = new Member("127.0.0.1:1", low);
        ClaimKey key = new ClaimKey(high, low);
        Claim claim = new Claim(key, member, uid, high, low);
        DomainView view = new DomainView(high, uid, low, List.of(member), List.of(), high);
        List<ClaimMessage> messages =
                List.of(
                        new ClaimMessage.Request(uid, claim),
                        new ClaimMessage.Granted(uid, key, low),
                        new ClaimMessage.Held(key, low, claim),
                        new ClaimMessage.Release(key, uid),
                        new ClaimMessage.ViewIs(view, complete, high, low, uid),
                        new ClaimMessage.Join(),
                        new ClaimMessage.Leave(),
                        new ClaimMessage.Fetch(uid, low),
                        new ClaimMessage.Claims(uid, low, 0, 1, List.of(claim)));
        for (ClaimMessage message : messages) {
            assertSurvives(new PeerMessage.Claims(member, message));
        }
    }

    @Property(tries = 200, seed = "2")
    void loanMessagesSurvive(@ForAll int count, @ForAll long id) throws WireException {
        Need need = new Need(count, count, count);
        LoanMessage.Line line = new LoanMessage.Line(id, "t:1", need, count, id);
        assertSurvives(new PeerMessage.Loans("a:1", new LoanMessage.Ask("s", need, count)));
        assertSurvives(new PeerMessage.Loans("a:1", new LoanMessage.Given("s", List.of(line))));
        LoanMessage.Return back = new LoanMessage.Return(id, count, 0);
        assertSurvives(new PeerMessage.Loans("a:1", new LoanMessage.Back(List.of(back))));
        assertSurvives(new PeerMessage.Loans("a:1", new LoanMessage.Recall("s", count)));
    }

    @Property(tries = 2_000, seed = "3")
    void otherBytesAreAnErrorAndNothingElse(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            mCodec.decode(bytes);
        } catch (WireException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }
}
