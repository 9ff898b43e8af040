#include <sodium.h>
#include <stdio.h>
#include <zmq.h>

#include "ctl/ctl.h"
#include "eelgrasslatch/key.h"

/* Prints a new [keys] table for the settings. */
enum ctl_exit
ctl_keygen (void)
{
  char public_key[41];
  char secret_key[41];
  uint8_t secret[EEL_KEY_SECRET_BYTES];
  char hex[2 * EEL_KEY_SECRET_BYTES + 1];

  if (zmq_curve_keypair (public_key, secret_key) != 0)
    {
      fprintf (stderr, "this libzmq was built without CURVE\n");
      return CTL_FAILED;
    }
  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (hex, sizeof hex, secret, sizeof secret);
  /* Z85 has neither quotes nor backslashes, so literal strings hold it. */
  printf ("[keys]\ncurve_public = '%s'\ncurve_secret = '%s'\n"
          "request_key_secret = \"%s\"\n",
          public_key, secret_key, hex);
  return CTL_OK;
}
