#include <stdlib.h>
#include <zstd.h>

#include "eelgrasslatch/preset.h"

/*
 * 2 MiB: a base and a document of 1 MiB each, so that the last byte of the
 * document still reaches the first byte of the base.
 */
#define PACK_WINDOW_LOG 21
#define PACK_LEVEL 3

static int
pack_prepare (ZSTD_CCtx *context, const struct eel_document *base)
{
  /* Long distance matching finds matches 1 MiB back even at a low level. */
  if (ZSTD_isError (
          ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, PACK_LEVEL))
      || ZSTD_isError (
          ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, PACK_WINDOW_LOG))
      || ZSTD_isError (ZSTD_CCtx_setParameter (
          context, ZSTD_c_enableLongDistanceMatching, 1))
      || ZSTD_isError (
          ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1)))
    return 0;
  if (base == NULL || base->byte_count == 0)
    return 1;
  return !ZSTD_isError (
      ZSTD_CCtx_refPrefix (context, base->bytes, base->byte_count));
}

/* Compresses a document, against the base's bytes when there is a base. */
enum eel_error
eel_document_pack (const struct eel_document *document,
                   const struct eel_document *base,
                   uint8_t **out,
                   size_t *out_bytes)
{
  ZSTD_CCtx *context;
  size_t capacity = ZSTD_compressBound (document->byte_count);
  size_t packed = 0;
  int succeeded;

  *out = NULL;
  *out_bytes = 0;
  if (document->byte_count == 0)
    return EEL_ERROR_NOT_FOUND;
  context = ZSTD_createCCtx ();
  *out = malloc (capacity);
  succeeded = context != NULL && *out != NULL && pack_prepare (context, base);
  if (succeeded)
    packed = ZSTD_compress2 (context, *out, capacity, document->bytes,
                             document->byte_count);
  ZSTD_freeCCtx (context);
  if (succeeded && !ZSTD_isError (packed))
    {
      *out_bytes = packed;
      return EEL_OK;
    }
  free (*out);
  *out = NULL;
  return EEL_ERROR_INTERNAL;
}

static enum eel_error
unpack_into (const uint8_t *packed,
             size_t packed_bytes,
             const struct eel_document *base,
             uint8_t *out,
             size_t size)
{
  ZSTD_DCtx *context = ZSTD_createDCtx ();
  size_t result;

  if (context == NULL)
    return EEL_ERROR_INTERNAL;
  if (base != NULL && base->byte_count > 0)
    ZSTD_DCtx_refPrefix (context, base->bytes, base->byte_count);
  result = ZSTD_decompressDCtx (context, out, size, packed, packed_bytes);
  ZSTD_freeDCtx (context);
  if (ZSTD_isError (result) || result != size)
    return EEL_ERROR_DOCUMENT_INVALID;
  return EEL_OK;
}

/*
 * Inverse of eel_document_pack.  A frame must declare its size, so that a
 * malicious one cannot make the receiver allocate more than one document.
 */
enum eel_error
eel_document_unpack (const uint8_t *packed,
                     size_t packed_bytes,
                     const struct eel_document *base,
                     uint8_t **out,
                     size_t *out_bytes)
{
  unsigned long long size = ZSTD_getFrameContentSize (packed, packed_bytes);
  enum eel_error error;

  *out = NULL;
  *out_bytes = 0;
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
      || size == 0)
    return EEL_ERROR_DOCUMENT_INVALID;
  if (size > EEL_DOCUMENT_BYTES_MAX)
    return EEL_ERROR_DOCUMENT_TOO_LARGE;
  *out = malloc ((size_t)size);
  if (*out == NULL)
    return EEL_ERROR_INTERNAL;
  error = unpack_into (packed, packed_bytes, base, *out, (size_t)size);
  if (error == EEL_OK)
    {
      *out_bytes = (size_t)size;
      return EEL_OK;
    }
  free (*out);
  *out = NULL;
  return error;
}
