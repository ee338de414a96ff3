package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.util.Base64;
import java.util.List;
import org.boragegap.core.bundle.Bundle;

/** The keys of two operators, a reviewer and an approver, who both sign each bundle. */
final class BundleSigners {
    private final KeyPair mReviewer;
    private final KeyPair mApprover;

    BundleSigners() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
        mReviewer = generator.generateKeyPair();
        mApprover = generator.generateKeyPair();
    }

    /** Settings that list the public keys of both signers. */
    String settings() {
        return "[bundles]\nsigners = reviewer="
                + publicKey(mReviewer)
                + ",approver="
                + publicKey(mApprover);
    }

    private static String publicKey(KeyPair pair) {
        return Base64.getEncoder().encodeToString(pair.getPublic().getEncoded());
    }

    /** A bundle signed by both operators, as JSON. */
    String signedBundle(long version, String parent, String publication, String body)
            throws Exception {
        Bundle unsigned = new Bundle(version, parent, publication, body, List.of());
        Bundle.Signature reviewed = new Bundle.Signature("reviewer", sign(mReviewer, unsigned));
        Bundle.Signature approved = new Bundle.Signature("approver", sign(mApprover, unsigned));
        return new ObjectMapper()
                .writeValueAsString(
                        new Bundle(
                                version, parent, publication, body, List.of(reviewed, approved)));
    }

    private static String sign(KeyPair pair, Bundle bundle) throws Exception {
        Signature signature = Signature.getInstance("Ed25519");
        signature.initSign(pair.getPrivate());
        signature.update(bundle.signedText().getBytes(StandardCharsets.UTF_8));
        return Base64.getEncoder().encodeToString(signature.sign());
    }
}
