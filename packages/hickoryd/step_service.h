#ifndef HICKORYWOOD_HICKORYD_STEP_SERVICE_H_
#define HICKORYWOOD_HICKORYD_STEP_SERVICE_H_

// Coordinates the steps that trainers opened: generates the samples, stores
// each body on a second instance too, in another availability zone if there is
// one, commits each batch before sending it, and takes over steps whose
// coordinator is unreachable or has terminated. Runs on the traffic thread.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryd/body_holder.h"
#include "hickoryd/context.h"
#include "hickoryd/generation_service.h"
#include "hickoryd/leader_client.h"
#include "rollout/burn.h"
#include "rollout/step.h"

namespace hickorywood::hickoryd {

// A trainer's request for the next batch.
struct pull_request {
  std::string pool;
  std::string step;
  // Number of the requested batch in the step; requesting batch n acknowledges
  // batch n - 1.
  uint64_t cursor = 1;
  int64_t trainer_version = 0;  // current weight version of the trainer
  int64_t max_samples = 64;
  int64_t wait_ms = 1000;  // an empty batch is returned after this time
  // True if another instance forwarded the request. If the step is not
  // coordinated here, the request fails with 404 instead of taking the step
  // over.
  bool is_forwarded = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pull_request, pool, step,
                                                cursor, trainer_version,
                                                max_samples, wait_ms,
                                                is_forwarded)

struct step_reply {
  int status = 200;
  std::string body;  // JSON
  core::milliseconds retry_after{0};
  // Outcome of a failed request: "not_run", "unknown" or "ran".
  std::string outcome;
};

class step_service {
 public:
  using completion = std::function<void(const step_reply&)>;

  step_service(instance_context& context, generation_service& generations,
               leader_client& leader, body_holder& bodies,
               rollout::burn_recorder& burn, bool hedging_enabled);

  void Start();

  void Open(const rollout::step_spec& spec, const completion& done);
  void Pull(const pull_request& request, completion done);

  // Returns the number of steps that this instance coordinates.
  size_t Active() const { return steps_.size(); }

  // Releases all steps before a planned stop: cancels their generations and
  // fails their waiting pulls with status 503, so that the trainers retry and
  // another instance takes the steps over.
  void Release();

 private:
  struct coordinated_step;
  struct proposed_batch;
  struct waiting_pull;
  struct take_over;
  using step_ptr = std::shared_ptr<coordinated_step>;

  // Functions that open steps and take them over.
  void ProposeOpen(const std::string& key, const rollout::step_spec& spec,
                   const std::string& backup, const completion& done);
  void FindCoordinator(const pull_request& request, const completion& done,
                       core::time_point retry_until);
  void ForwardOrTakeOver(const pull_request& request, const completion& done,
                         const control::step_record& record,
                         core::time_point retry_until);
  void Forward(const pull_request& request, const completion& done,
               const std::string& coordinator,
               const control::step_record& record,
               core::time_point retry_until);
  void TakeOver(const pull_request& request, const completion& done,
                const control::step_record& record,
                core::time_point retry_until);
  void CollectBodies(const std::shared_ptr<take_over>& work);
  void ProposeTakeOver(const std::shared_ptr<take_over>& work);
  void ReadAfterTakeOver(const std::shared_ptr<take_over>& work,
                         uint64_t epoch);
  void Adopt(const std::shared_ptr<take_over>& work, uint64_t epoch,
             const control::step_record& record);
  void StoreLastBatch(const take_over& work, coordinated_step& step);
  void RetryFindCoordinator(const pull_request& request, const completion& done,
                            core::time_point retry_until);

  // Functions that run the steps which this instance coordinates.
  void RunSteps();
  void LaunchSamples(const step_ptr& step);
  void BeginSample(const step_ptr& step, const rollout::launch& launch,
                   const settings::pool_config& pool);
  void HandleSampleResult(const step_ptr& step, const rollout::launch& launch,
                          const generation_result& result);
  void Replicate(const step_ptr& step);
  void ServePulls(const step_ptr& step);
  void Serve(const step_ptr& step, const waiting_pull& pull);
  std::vector<int64_t> FormBatch(const step_ptr& step,
                                 const waiting_pull& pull);
  void EndStep(const step_ptr& step, const waiting_pull& pull, int end_status);
  void ServeRepeat(const step_ptr& step, const waiting_pull& pull);
  bool HasStaleSample(const step_ptr& step, const control::batch_record& batch,
                      int64_t trainer_version) const;
  void CommitBatch(const step_ptr& step, const waiting_pull& pull,
                   const std::vector<int64_t>& slots);
  void ProposeBatch(const step_ptr& step, const waiting_pull& pull,
                    const std::shared_ptr<const proposed_batch>& batch);
  void HandleCommitAnswer(const step_ptr& step, const waiting_pull& pull,
                          const std::shared_ptr<const proposed_batch>& batch,
                          const control::proposal_answer& answer);
  void AnswerBatch(const step_ptr& step, const waiting_pull& pull,
                   const std::optional<std::string>& body);
  void Acknowledge(const step_ptr& step, uint64_t cursor);
  // Returns nothing if this instance does not store all bodies of the batch.
  std::optional<std::string> BatchBody(
      const step_ptr& step, const control::batch_record& batch) const;
  void RecordDelivery(const step_ptr& step, const control::batch_record& batch);
  void AnswerPull(const step_ptr& step, const waiting_pull& pull,
                  const step_reply& reply);
  void Close(const step_ptr& step, int end_status);
  void StopStep(const step_ptr& step, const std::string& reason);
  int64_t CurrentVersion(const std::string& pool,
                         int64_t trainer_version) const;

  instance_context& context_;
  generation_service& generations_;
  leader_client& leader_;
  body_holder& bodies_;
  rollout::burn_recorder& burn_;
  const bool hedging_enabled_;
  std::map<std::string, step_ptr> steps_;  // by "pool/step"
  // Pulls that wait for a take-over, by "pool/step".
  std::map<std::string, std::vector<std::pair<pull_request, completion>>>
      taking_over_;
  bool is_released_ = false;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_STEP_SERVICE_H_
