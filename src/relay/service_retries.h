#ifndef EEL_RELAY_SERVICE_RETRIES_H
#define EEL_RELAY_SERVICE_RETRIES_H

#include <stdint.h>

#include "eelgrasslatch/retry_order.h"
#include "eelgrasslatch/retry_share.h"

/* The retry share of each service, made with the service's first request. */

struct eel_service_retries_slot
{
  /* NULL: no request yet. */
  struct eel_retry_share *share;
  /* NULL: none was refused. */
  struct eel_retry_order *order;
};

struct eel_service_retries
{
  double ratio;
  double extra;
  int64_t window_us;
  /* By number of the service. */
  struct eel_service_retries_slot *slots;
  uint32_t count;
};

void eel_service_retries_init (struct eel_service_retries *retries,
                               double ratio,
                               int64_t window_us);
void eel_service_retries_finish (struct eel_service_retries *retries);
/* Sets the retries that each service has independent of its traffic. */
void eel_service_retries_set_extra (struct eel_service_retries *retries,
                                    double extra);
void eel_service_retries_request (struct eel_service_retries *retries,
                                  uint32_t service,
                                  int64_t now_us);
/* As eel_retry_share_take; 0 for a service without requests. */
int eel_service_retries_take (struct eel_service_retries *retries,
                              uint32_t service,
                              uint32_t cost_milli,
                              int64_t now_us);
/* As eel_retry_order_allows, among the retries that the share leaves. */
int eel_service_retries_in_order (struct eel_service_retries *retries,
                                  uint32_t service,
                                  uint8_t rank,
                                  uint32_t needed,
                                  uint32_t cost_milli,
                                  int64_t now_us);
/* The number of the service may be used for another one from now on. */
void eel_service_retries_forget (struct eel_service_retries *retries,
                                 uint32_t service);

#endif
