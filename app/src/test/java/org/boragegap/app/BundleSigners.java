package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.util.Base64;
import java.util.List;
import org.boragegap.core.bundle.Bundle;

/** Two operators with keys of their own, who sign bundles off. */
final class BundleSigners {
    private final KeyPair mReviewer;
    private final KeyPair mApprover;

    BundleSigners() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
        mReviewer = generator.generateKeyPair();
        mApprover = generator.generateKeyPair();
    }

    /** Settings that name both. */
    String settings() {
        return "[bundles]\nsigners = reviewer="
                + publicKey(mReviewer)
                + ",approver="
                + publicKey(mApprover);
    }

    private static String publicKey(KeyPair pair) {
        return Base64.getEncoder().encodeToString(pair.getPublic().getEncoded());
    }

    /** A bundle signed by both, as JSON. */
    String signedBundle(long version, String parent, String publication, String body)
            throws Exception {
        Bundle bare = new Bundle(version, parent, publication, body, List.of());
        Bundle.Signature reviewed = new Bundle.Signature("reviewer", sign(mReviewer, bare));
        Bundle.Signature approved = new Bundle.Signature("approver", sign(mApprover, bare));
        return new ObjectMapper()
                .writeValueAsString(
                        new Bundle(
                                version, parent, publication, body, List.of(reviewed, approved)));
    }

    private static String sign(KeyPair pair, Bundle bundle) throws Exception {
        Signature signer = Signature.getInstance("Ed25519");
        signer.initSign(pair.getPrivate());
        signer.update(bundle.signedText().getBytes(StandardCharsets.UTF_8));
        return Base64.getEncoder().encodeToString(signer.sign());
    }
}
